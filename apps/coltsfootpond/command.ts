/** The interface that every command of the command line implements. */
import type { DeclarationFile } from "@coltsfootpond/common";
import type { InferredOptionTypes, Options } from "yargs";
import type { EntryClient } from "./entry_client.ts";
import type { ExitCode } from "./exit_codes.ts";

/** What a command may use: the client of the entries, time, output and files. */
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

/** A command's definition; the types of its arguments follow from its options. */
export interface CommandDefinition<
  Positionals extends OptionRecord,
  Flags extends OptionRecord,
> {
  /** The command's name and positionals as yargs writes them, such as `get <request-id>`. */
  readonly usage: string;
  readonly describe: string;
  readonly positionals: Positionals;
  readonly flags: Flags;
  run(
    context: CommandContext,
    args: InferredOptionTypes<Positionals> & InferredOptionTypes<Flags>,
  ): Promise<ExitCode>;
}

/** A command as the command line runs it, without the types of its arguments. */
export interface Command {
  readonly usage: string;
  readonly describe: string;
  readonly positionals: OptionRecord;
  readonly flags: OptionRecord;
  run(context: CommandContext, args: never): Promise<ExitCode>;
}

/** Infers the types of a command's arguments from its options. */
export function defineCommand<
  Positionals extends OptionRecord,
  Flags extends OptionRecord,
>(definition: CommandDefinition<Positionals, Flags>): Command {
  return definition;
}
