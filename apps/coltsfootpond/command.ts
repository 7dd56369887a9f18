/** The one shape of every command. */
import type { DeclarationFile } from "@coltsfootpond/common";
import type { InferredOptionTypes, Options } from "yargs";
import type { EntryClient } from "./entry_client.ts";
import type { ExitCode } from "./exit_codes.ts";

/** What a command may touch of the world around it. */
export interface CommandContext {
  readonly client: EntryClient;
  /** Whether answers are printed as JSON. */
  readonly json: boolean;
  nowMs(): number;
  sleep(durationMs: number): Promise<void>;
  print(line: string): void;
  printError(line: string): void;
  readFile(path: string): Promise<Uint8Array>;
  /** The `*.toml` files of a directory, in order of name. */
  readDeclarations(directory: string): Promise<readonly DeclarationFile[]>;
}

type OptionRecord = Readonly<Record<string, Options>>;

/** A command as it is written: its arguments are typed by its options. */
export interface CommandDefinition<
  Positionals extends OptionRecord,
  Flags extends OptionRecord,
> {
  /** In yargs' form, such as `get <request-id>`. */
  readonly usage: string;
  readonly describe: string;
  readonly positionals: Positionals;
  readonly flags: Flags;
  run(
    context: CommandContext,
    args: InferredOptionTypes<Positionals> & InferredOptionTypes<Flags>,
  ): Promise<ExitCode>;
}

/** A command as it is registered. */
export interface Command {
  readonly usage: string;
  readonly describe: string;
  readonly positionals: OptionRecord;
  readonly flags: OptionRecord;
  run(context: CommandContext, args: never): Promise<ExitCode>;
}

/** Types the arguments of a command by its options. */
export function defineCommand<
  Positionals extends OptionRecord,
  Flags extends OptionRecord,
>(definition: CommandDefinition<Positionals, Flags>): Command {
  return definition;
}
