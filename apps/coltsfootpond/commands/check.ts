/** `check`: parses a directory of declarations and checks it without an entry. */
import {
  type Declarations,
  formatProblem,
  parseDeclarations,
} from "@coltsfootpond/common";
import { defineCommand } from "../command.ts";
import { EXIT_CODE } from "../exit_codes.ts";
import { printResult } from "../results.ts";

function summarise(declarations: Declarations) {
  const racks = declarations.failureDomains.flatMap((domain) => domain.racks);
  return {
    organisations: declarations.organisations.length,
    guarantees: declarations.guarantees.length,
    services: declarations.services.length,
    failureDomains: declarations.failureDomains.length,
    racks: racks.length,
    workers: racks.flatMap((rack) => rack.workers).length,
  };
}

export const CHECK_COMMAND = defineCommand({
  usage: "check <directory>",
  describe: "Check a directory of declarations; nothing is sent",
  positionals: {
    directory: { type: "string", demandOption: true, describe: "TOML files" },
  },
  flags: {},
  async run(context, args) {
    const files = await context.readDeclarations(args.directory);
    const outcome = parseDeclarations(files);
    if (outcome.kind === "invalid") {
      if (context.json) context.print(JSON.stringify(outcome));
      else {
        outcome.problems.forEach((problem) =>
          context.printError(formatProblem(problem))
        );
      }
      return EXIT_CODE.INVALID;
    }
    const summary = summarise(outcome.declarations);
    printResult(context, { kind: "valid", ...summary }, () => [
      "valid: " + Object.entries(summary)
        .map(([name, count]) => `${name} ${count}`).join(", "),
    ]);
    return EXIT_CODE.OK;
  },
});
