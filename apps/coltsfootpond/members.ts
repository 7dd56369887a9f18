/** Reaches every entry of the deployment, starting from one of them. */
import type { CommandContext } from "./command.ts";
import type { EntryClient, EntryOutcome } from "./entry_client.ts";
import { readJson } from "./results.ts";
import type { MemberDocument, StatusDocument } from "./status_documents.ts";

/** A registered entry with a client of it alone. */
export interface ReachableMember {
  readonly member: MemberDocument;
  readonly client: EntryClient;
}

export type MembersOutcome =
  | { readonly kind: "members"; readonly members: readonly ReachableMember[] }
  | { readonly kind: "failed"; readonly outcome: EntryOutcome };

/** The entries that the first reachable entry knows of as live. */
export async function listMembers(
  context: CommandContext,
): Promise<MembersOutcome> {
  const outcome = await context.client.send({
    method: "GET",
    path: "/v1/status",
  });
  if (outcome.kind !== "response" || outcome.response.status !== 200) {
    return { kind: "failed", outcome };
  }
  const status = readJson<StatusDocument>(outcome.response);
  const members = status.members
    .filter((member) => member.state === "live")
    .map((member) => ({
      member,
      client: context.client.withEntry({
        host: member.host,
        port: member.httpPort,
      }),
    }));
  return { kind: "members", members };
}
