/** `check`: validates a directory of declarations, with its guarantees, without using an entry. */
import {
  type Declarations,
  formatProblem,
  parseDeclarations,
} from "@coltsfootpond/common";
import { planGuarantees } from "@coltsfootpond/policy";
import { type CommandContext, defineCommand } from "../command.ts";
import { EXIT_CODE, type ExitCode } from "../exit_codes.ts";
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

/** Prints the problems for which an entry would reject the whole set. */
function reportInvalid(
  context: CommandContext,
  problems: readonly string[],
): ExitCode {
  if (context.json) {
    context.print(JSON.stringify({ kind: "invalid", problems }));
  } else problems.forEach((problem) => context.printError(problem));
  return EXIT_CODE.INVALID;
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
      return reportInvalid(context, outcome.problems.map(formatProblem));
    }
    const plan = planGuarantees(outcome.declarations, []);
    if (plan.problems.length > 0) {
      return reportInvalid(
        context,
        plan.problems.map(({ detail }) => detail),
      );
    }
    const summary = summarise(outcome.declarations);
    printResult(context, { kind: "valid", ...summary }, () => [
      "valid: " + Object.entries(summary)
        .map(([name, count]) => `${name} ${count}`).join(", "),
    ]);
    return EXIT_CODE.OK;
  },
});
