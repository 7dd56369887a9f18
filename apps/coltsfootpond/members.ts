/** Lists the live entries of the deployment, each with a client of its own. */
import type { CommandContext } from "./command.ts";
import type { EntryClient, EntryOutcome } from "./entry_client.ts";
import { readJson } from "./results.ts";
import type { MemberDocument, StatusDocument } from "./status_documents.ts";

/** A registered entry, and a client that sends to it alone. */
export interface ReachableMember {
  readonly member: MemberDocument;
  readonly client: EntryClient;
}

/** `failed`: no entry sent its status; `outcome` says why. */
export type MembersOutcome =
  | { readonly kind: "members"; readonly members: readonly ReachableMember[] }
  | { readonly kind: "failed"; readonly outcome: EntryOutcome };

/** The members that the first reachable entry reports as live. */
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
