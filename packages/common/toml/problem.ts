/** One fault in a TOML file, worded for the operator who has to mend it. */

/** Longest piece of a found value that a problem repeats. */
const MAXIMUM_FOUND_LENGTH = 60;
/** Values under such keys are never repeated. */
const SECRET_KEY_PATTERN = /secret|digest/;

/** A fault: where it is, what belongs there and what stands there. */
export interface SourceProblem {
  readonly file: string;
  /** Key path such as `services[0].timeout_ms`, or the line for a syntax error. */
  readonly path: string;
  readonly expected: string;
  readonly found: string;
}

/** One line for logs, terminals and problem documents. */
export function formatProblem(problem: SourceProblem): string {
  return `${problem.file}: ${problem.path}: expected ${problem.expected}, found ${problem.found}`;
}

/** Joins keys and list positions into a key path. */
export function formatPath(path: readonly PropertyKey[]): string {
  const joined = path.map((part) =>
    typeof part === "number" ? `[${part}]` : `.${String(part)}`
  ).join("");
  return joined.startsWith(".") ? joined.slice(1) : joined;
}

/** Describes a found value briefly; secrets are described by their type alone. */
export function describeFound(value: unknown, path: string): string {
  if (value === undefined) return "nothing";
  if (Array.isArray(value)) return `a list of ${value.length}`;
  if (value instanceof Date) return "a date";
  if (typeof value === "object") return "a table";
  if (SECRET_KEY_PATTERN.test(path)) return `a ${typeof value}`;
  const text = typeof value === "string" ? JSON.stringify(value) : `${value}`;
  return text.length <= MAXIMUM_FOUND_LENGTH
    ? text
    : `${text.slice(0, MAXIMUM_FOUND_LENGTH)}...`;
}

/** The value at a path inside parsed TOML. */
export function getAt(root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root;
  for (const part of path) {
    if (typeof value !== "object" || value === null) return undefined;
    if (!Object.hasOwn(value, part)) return undefined;
    value = (value as Record<PropertyKey, unknown>)[part];
  }
  return value;
}
