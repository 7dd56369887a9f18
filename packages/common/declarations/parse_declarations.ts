/** Parses a set of declaration files; the set is accepted or rejected as a whole. */
import { toCamelCase } from "../toml/camel_case.ts";
import { checkSchema, parseToml, type TomlFile } from "../toml/parse_toml.ts";
import type { SourceProblem } from "../toml/problem.ts";
import type { Declarations } from "../types.ts";
import { checkReferences, type ParsedFile } from "./references.ts";
import {
  DECLARATION_FILE_SCHEMA,
  type DeclarationFileContent,
} from "./schema.ts";

/** One file of the set: its name, for problems, and its TOML text. */
export type DeclarationFile = TomlFile;

/** `problems` holds at least one problem. */
export type DeclarationsOutcome =
  | { readonly kind: "valid"; readonly declarations: Declarations }
  | { readonly kind: "invalid"; readonly problems: readonly SourceProblem[] };

/** Parses, checks and merges the files; reports all problems of the set at once. */
export function parseDeclarations(
  files: readonly DeclarationFile[],
): DeclarationsOutcome {
  const problems: SourceProblem[] = [...findRepeatedFiles(files)];
  const parsed: ParsedFile[] = [];
  for (const file of files) {
    const outcome = parseToml(file);
    if (outcome.kind === "malformed") problems.push(outcome.problem);
    else parsed.push({ name: file.name, table: outcome.table });
  }
  const contents: DeclarationFileContent[] = [];
  for (const file of parsed) {
    const outcome = checkSchema(DECLARATION_FILE_SCHEMA, file.table, file.name);
    if (outcome.kind === "invalid") problems.push(...outcome.problems);
    else contents.push(outcome.output);
  }
  if (parsed.length === files.length) {
    problems.push(...checkReferences(parsed), ...checkOperators(parsed));
  }
  if (problems.length > 0) return { kind: "invalid", problems };
  return { kind: "valid", declarations: merge(contents) };
}

function findRepeatedFiles(
  files: readonly DeclarationFile[],
): readonly SourceProblem[] {
  const names = files.map((file) => file.name);
  return names
    .filter((name, index) => names.indexOf(name) !== index)
    .map((file) => ({
      file,
      path: "(file)",
      expected: "each file once in the set",
      found: "a second file of this name",
    }));
}

/** Requires an operator: without one, nobody could ever replace the set. */
function checkOperators(
  files: readonly ParsedFile[],
): readonly SourceProblem[] {
  const declared = files.some((file) =>
    Object.hasOwn(file.table, OPERATORS_KEY) &&
    !isEmptyList(file.table[OPERATORS_KEY])
  );
  if (declared) return [];
  return [{
    file: "(set)",
    path: OPERATORS_KEY,
    expected: "the digest of at least one operator's token",
    found: "nothing",
  }];
}

const OPERATORS_KEY = "operator_token_digests";

function isEmptyList(value: unknown): boolean {
  return Array.isArray(value) && value.length === 0;
}

function merge(contents: readonly DeclarationFileContent[]): Declarations {
  return toCamelCase({
    operator_token_digests: contents.flatMap((content) =>
      content.operator_token_digests
    ),
    organisations: contents.flatMap((content) => content.organisations),
    guarantees: contents.flatMap((content) => content.guarantees),
    services: contents.flatMap((content) => content.services),
    failure_domains: contents.flatMap((content) => content.failure_domains),
  });
}
