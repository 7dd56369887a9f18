/** The command line, built on yargs: options of every command, help, completion and exit codes. */
import type { Clock, DeclarationFile } from "@coltsfootpond/common";
import yargs, { type Argv } from "yargs";
import type { Command, CommandContext } from "./command.ts";
import {
  type EntryAddress,
  EntryClient,
  parseAddress,
} from "./entry_client.ts";
import { EXIT_CODE, type ExitCode } from "./exit_codes.ts";
import { COMMANDS } from "./registry.ts";

/** Inputs and outputs of one run of the command line. */
export interface CliEnvironment {
  readonly clock: Clock;
  /**
   * Environment variables. `COLTSFOOTPOND_ENTRY` (comma separated) and `COLTSFOOTPOND_TOKEN` are
   * used when `--entry` and `--token` are absent.
   */
  readonly variables: Readonly<Record<string, string | undefined>>;
  print(line: string): void;
  printError(line: string): void;
  readFile(path: string): Promise<Uint8Array>;
  readDeclarations(directory: string): Promise<readonly DeclarationFile[]>;
}

const DEFAULT_TIMEOUT_MS = 30_000;

const COMMON_OPTIONS = {
  entry: {
    type: "string",
    array: true,
    describe: "host:port of an entry; may be repeated [COLTSFOOTPOND_ENTRY]",
  },
  token: { type: "string", describe: "Bearer token [COLTSFOOTPOND_TOKEN]" },
  json: { type: "boolean", default: false, describe: "Print JSON" },
  "timeout-ms": {
    type: "number",
    default: DEFAULT_TIMEOUT_MS,
    describe: "Bound on each exchange with an entry",
  },
} as const;

const EPILOGUE = "Exit codes: " +
  Object.entries(EXIT_CODE)
    .map(([name, code]) => `${code} ${name.toLowerCase()}`)
    .join(", ");

interface CommonArguments {
  readonly entry?: readonly string[];
  readonly token?: string;
  readonly json: boolean;
  readonly "timeout-ms": number;
}

type AddressesOutcome =
  | { readonly kind: "addresses"; readonly entries: readonly EntryAddress[] }
  | { readonly kind: "malformed"; readonly text: string };

function parseAddresses(
  args: CommonArguments,
  environment: CliEnvironment,
): AddressesOutcome {
  const variable = environment.variables["COLTSFOOTPOND_ENTRY"];
  const texts = args.entry ?? variable?.split(",") ?? [];
  const entries: EntryAddress[] = [];
  for (const text of texts) {
    const address = parseAddress(text);
    if (address === undefined) return { kind: "malformed", text };
    entries.push(address);
  }
  return { kind: "addresses", entries };
}

function createContext(
  args: CommonArguments,
  entries: readonly EntryAddress[],
  environment: CliEnvironment,
): CommandContext {
  const nowMs = () => environment.clock.nowMs();
  return {
    client: EntryClient.create({
      entries,
      token: args.token ?? environment.variables["COLTSFOOTPOND_TOKEN"],
      timeoutMs: args["timeout-ms"],
      nowMs,
    }),
    json: args.json,
    nowMs,
    sleep: (durationMs) => environment.clock.sleep(durationMs),
    print: environment.print,
    printError: environment.printError,
    readFile: environment.readFile,
    readDeclarations: environment.readDeclarations,
  };
}

function addOptions(builder: Argv, command: Command): Argv {
  for (const [name, option] of Object.entries(command.positionals)) {
    builder.positional(name, option as Parameters<Argv["positional"]>[1]);
  }
  return builder.options(command.flags);
}

async function runCommand(
  command: Command,
  args: CommonArguments,
  environment: CliEnvironment,
): Promise<ExitCode> {
  const addresses = parseAddresses(args, environment);
  if (addresses.kind === "malformed") {
    environment.printError(`expected host:port, found "${addresses.text}"`);
    return EXIT_CODE.USAGE;
  }
  const context = createContext(args, addresses.entries, environment);
  return await command.run(context, args as never);
}

/** Runs one command line and resolves with its exit code. Errors are printed, not thrown. */
export async function runCli(
  argv: readonly string[],
  environment: CliEnvironment,
): Promise<ExitCode> {
  let exitCode: ExitCode = EXIT_CODE.OK;
  const parser = yargs()
    .scriptName("coltsfootpond")
    .usage("$0 <command>: operate coltsfootpond and send requests through it")
    .options(COMMON_OPTIONS)
    .parserConfiguration({
      "camel-case-expansion": false,
      "greedy-arrays": false,
    })
    .demandCommand(1, "a command is needed")
    .strict()
    .completion("completion", "Print a completion script for bash or zsh")
    .epilogue(EPILOGUE)
    .version(false)
    .wrap(null)
    .exitProcess(false)
    .fail((message, error) => {
      throw error ?? new UsageError(message);
    });
  for (const command of COMMANDS) {
    parser.command(
      command.usage,
      command.describe,
      (builder) => addOptions(builder, command),
      async (args) => {
        const common = args as unknown as CommonArguments;
        exitCode = await runCommand(command, common, environment);
      },
    );
  }
  try {
    await parser.parseAsync([...argv], {}, (_error, _args, output) => {
      if (output) environment.print(output);
    });
    return exitCode;
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    environment.printError(message);
    return error instanceof UsageError ? EXIT_CODE.USAGE : EXIT_CODE.INTERNAL;
  }
}

/** The command line is invalid, for example an unknown option. */
class UsageError extends Error {}
