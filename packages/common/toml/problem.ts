/** A problem in a TOML file, worded for the operator who has to correct it. */

/** Longer values are truncated in a problem. */
const MAXIMUM_FOUND_LENGTH = 60;
/** The values of keys that match this never appear in a problem. */
const SECRET_KEY_PATTERN = /secret|digest/;

/** A problem: its location, the expected value and the value found. */
export interface SourceProblem {
  readonly file: string;
  /** Key path such as `services[0].timeout_ms`, or the line for a syntax error. */
  readonly path: string;
  readonly expected: string;
  readonly found: string;
}

/** The problem as one line, for logs, terminals and RFC 9457 problem documents. */
export function formatProblem(problem: SourceProblem): string {
  return `${problem.file}: ${problem.path}: expected ${problem.expected}, found ${problem.found}`;
}

/** Joins keys and list indexes into a key path. */
export function formatPath(path: readonly PropertyKey[]): string {
  const joined = path.map((part) =>
    typeof part === "number" ? `[${part}]` : `.${String(part)}`
  ).join("");
  return joined.startsWith(".") ? joined.slice(1) : joined;
}

/** Describes a found value; tables, lists and dates by their kind, secrets by their type. */
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

/** The value at a path in parsed TOML; undefined when there is none. */
export function getValueAt(
  root: unknown,
  path: readonly PropertyKey[],
): unknown {
  let value = root;
  for (const part of path) {
    if (typeof value !== "object" || value === null) return undefined;
    if (!Object.hasOwn(value, part)) return undefined;
    value = (value as Record<PropertyKey, unknown>)[part];
  }
  return value;
}
