/** Parses TOML files, and checks the result against a zod schema with a list of all problems. */
import { parse } from "smol-toml";
import type { z } from "zod";
import {
  describeFound,
  formatPath,
  getValueAt,
  type SourceProblem,
} from "./problem.ts";

/** A TOML file's name and text. */
export interface TomlFile {
  readonly name: string;
  readonly text: string;
}

/** `malformed`: the text is not valid TOML. */
export type TomlOutcome =
  | { readonly kind: "parsed"; readonly table: Record<string, unknown> }
  | { readonly kind: "malformed"; readonly problem: SourceProblem };

/** Start of every message of smol-toml, left out of problems. */
const PARSER_MESSAGE_PREFIX = "Invalid TOML document: ";
const UNIT_SUFFIX_PATTERN =
  /_(ms|seconds?|s|minutes?|hours?|bytes|mib|kib|mb|gb)$/;

/** Parses the syntax only; `checkSchema` checks the shape. */
export function parseToml(file: TomlFile): TomlOutcome {
  try {
    return { kind: "parsed", table: parse(file.text) };
  } catch (error) {
    return { kind: "malformed", problem: describeSyntaxError(file, error) };
  }
}

function describeSyntaxError(file: TomlFile, error: unknown): SourceProblem {
  const { line, column, message } = error as {
    readonly line?: number;
    readonly column?: number;
    readonly message?: string;
  };
  const firstLine = String(message ?? error).split("\n")[0] ?? "";
  return {
    file: file.name,
    path: line === undefined ? "(file)" : `line ${line}, column ${column}`,
    expected: "a valid TOML document",
    found: firstLine.replace(PARSER_MESSAGE_PREFIX, ""),
  };
}

/** `output` is the value as the schema transforms it; `problems` holds at least one problem. */
export type SchemaOutcome<Output> =
  | { readonly kind: "valid"; readonly output: Output }
  | { readonly kind: "invalid"; readonly problems: readonly SourceProblem[] };

/** Checks parsed TOML against a schema; reports all problems, with their key paths. */
export function checkSchema<Schema extends z.ZodType>(
  schema: Schema,
  table: unknown,
  fileName: string,
): SchemaOutcome<z.output<Schema>> {
  const result = schema.safeParse(table);
  if (result.success) return { kind: "valid", output: result.data };
  const problems = result.error.issues.flatMap((issue) =>
    describeIssue(issue, table, fileName)
  );
  return { kind: "invalid", problems };
}

function describeIssue(
  issue: z.core.$ZodIssue,
  table: unknown,
  file: string,
): readonly SourceProblem[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => ({
      file,
      path: formatPath([...issue.path, key]),
      expected: describeExpectedKey(key),
      found: "an unknown key",
    }));
  }
  const path = formatPath(issue.path);
  return [{
    file,
    path: path === "" ? "(file)" : path,
    expected: issue.message,
    found: describeFound(getValueAt(table, issue.path), path),
  }];
}

/** What to expect in place of an unknown key, with a hint if it ends in the name of a unit. */
function describeExpectedKey(key: string): string {
  const stem = key.replace(UNIT_SUFFIX_PATTERN, "");
  return stem === key
    ? "a documented key"
    : "a documented key, which carries its own unit (_ms, _mib, _bytes)";
}
