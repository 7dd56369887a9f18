/** `domain`: takes a failure domain out of service, brings it back, or lists them all. */
import { defineCommand } from "../command.ts";
import { EXIT_CODE } from "../exit_codes.ts";
import { sendAndPrint } from "../results.ts";
import {
  type FailureDomainDocument,
  formatFailureDomain,
} from "../status_documents.ts";

/** An entry's answer to a change of one failure domain. */
interface ChangeDocument {
  readonly failureDomain: string;
  readonly state: string;
  readonly version: number;
  /** Whether the change is stored in the table service. */
  readonly durable: boolean;
  readonly ownerAcknowledged: boolean;
  /** Entries that apply the change already. */
  readonly inForceEntries: readonly string[];
  readonly registeredEntries: number;
}

interface DomainListDocument {
  readonly failureDomains: readonly FailureDomainDocument[];
}

function formatChange(change: ChangeDocument): readonly string[] {
  const { inForceEntries, registeredEntries } = change;
  const durability = change.durable ? "durable" : "NOT durable yet";
  const lines = [
    `${change.failureDomain} is ${change.state}, version ${change.version}, ${durability}`,
    `in force on ${inForceEntries.length} of ${registeredEntries} entries: ${
      inForceEntries.join(", ")
    }`,
  ];
  if (!change.ownerAcknowledged) lines.push("NOT confirmed by its owner yet");
  return lines;
}

export const DOMAIN_COMMAND = defineCommand({
  usage: "domain <action> [name]",
  describe: "Take a failure domain out, bring it back in, or list them",
  positionals: {
    action: {
      choices: ["out", "in", "list"] as const,
      demandOption: true,
      describe: "What to do",
    },
    name: { type: "string", describe: "The failure domain, for out and in" },
  },
  flags: {},
  run(context, args) {
    if (args.action === "list") {
      return sendAndPrint<DomainListDocument>(
        context,
        { method: "GET", path: "/v1/failure-domains" },
        (list) => list.failureDomains.map(formatFailureDomain),
      );
    }
    if (args.name === undefined) {
      context.printError(`domain ${args.action} needs a name`);
      return Promise.resolve(EXIT_CODE.USAGE);
    }
    const name = encodeURIComponent(args.name);
    return sendAndPrint<ChangeDocument>(
      context,
      { method: "POST", path: `/v1/failure-domains/${name}/${args.action}` },
      formatChange,
    );
  },
});
