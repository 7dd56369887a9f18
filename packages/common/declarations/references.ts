/** Checks across all files of a set: duplicate names, and references to undeclared names. */
import {
  describeFound,
  formatPath,
  type SourceProblem,
} from "../toml/problem.ts";

/** One parsed file; its shape is not validated yet. */
export interface ParsedFile {
  readonly name: string;
  readonly table: Readonly<Record<string, unknown>>;
}

/** A value with its location. */
interface Located {
  readonly file: string;
  readonly path: readonly PropertyKey[];
  readonly value: unknown;
}

type ListKey =
  | "organisations"
  | "guarantees"
  | "services"
  | "failure_domains"
  | "operator_token_digests";

/** Finds every duplicate name and dangling reference, also in files that violate the schema. */
export function checkReferences(
  files: readonly ParsedFile[],
): readonly SourceProblem[] {
  const organisations = listItems(files, "organisations");
  const guarantees = listItems(files, "guarantees");
  const services = listItems(files, "services");
  const domains = listItems(files, "failure_domains");
  const racks = domains.flatMap((item) => listInside(item, "racks"));
  const workers = racks.flatMap(listWorkerNames);
  const organisationNames = collectTexts(getFields(organisations, "name"));
  const domainNames = collectTexts(getFields(domains, "name"));
  const allowedCallers = services.flatMap((item) =>
    listInside(item, "organisations")
  );
  return [
    ...findDuplicates(getFields(organisations, "name")),
    ...findDuplicates(getFields(guarantees, "name")),
    ...findDuplicates(getFields(services, "name")),
    ...findDuplicates(getFields(domains, "name")),
    ...findDuplicates(getFields(racks, "name")),
    ...findDuplicates(workers),
    ...findDuplicates([
      ...listItems(files, "operator_token_digests"),
      ...getFields(organisations, "token_digest"),
    ]),
    ...findDangling(
      [...getFields(guarantees, "organisation"), ...allowedCallers],
      organisationNames,
      "a declared organisation",
    ),
    ...findDangling(
      getFields(guarantees, "failure_domain"),
      domainNames,
      "a declared failure domain",
    ),
  ];
}

function listItems(
  files: readonly ParsedFile[],
  key: ListKey,
): readonly Located[] {
  return files.flatMap((file) =>
    listInside({ file: file.name, path: [], value: file.table }, key)
  );
}

function listInside(parent: Located, key: string): readonly Located[] {
  const field = getField(parent, key);
  if (field === undefined || !Array.isArray(field.value)) return [];
  return field.value.map((value, index) => ({
    ...field,
    path: [...field.path, index],
    value,
  }));
}

function getField(parent: Located, key: string): Located | undefined {
  const { value } = parent;
  if (typeof value !== "object" || value === null) return undefined;
  if (!Object.hasOwn(value, key)) return undefined;
  const field = (value as Record<string, unknown>)[key];
  return { ...parent, path: [...parent.path, key], value: field };
}

function getFields(items: readonly Located[], key: string): readonly Located[] {
  return items.flatMap((item) => getField(item, key) ?? []);
}

/** The names of a rack's workers: those listed, or those that `prefix` and `count` expand to. */
function listWorkerNames(rack: Located): readonly Located[] {
  const listed = getFields(listInside(rack, "workers"), "name");
  const workers = getField(rack, "workers");
  const prefix = workers && getField(workers, "prefix")?.value;
  const count = workers && getField(workers, "count")?.value;
  if (workers === undefined || typeof prefix !== "string") return listed;
  if (typeof count !== "number" || !(count <= MAXIMUM_EXPANDED_WORKERS)) {
    return listed;
  }
  return Array.from({ length: Math.max(0, Math.floor(count)) }, (_, index) => ({
    ...workers,
    value: `${prefix}${index + 1}`,
  }));
}

/** The schema rejects larger counts. */
const MAXIMUM_EXPANDED_WORKERS = 256;

function collectTexts(items: readonly Located[]): ReadonlySet<string> {
  return new Set(
    items.flatMap((item) => typeof item.value === "string" ? item.value : []),
  );
}

function findDuplicates(items: readonly Located[]): readonly SourceProblem[] {
  const firstLocations = new Map<string, string>();
  const problems: SourceProblem[] = [];
  for (const item of items) {
    if (typeof item.value !== "string") continue;
    const location = `${item.file}: ${formatPath(item.path)}`;
    const first = firstLocations.get(item.value);
    if (first === undefined) firstLocations.set(item.value, location);
    else problems.push(createProblem(item, `no repetition of ${first}`));
  }
  return problems;
}

function findDangling(
  references: readonly Located[],
  known: ReadonlySet<string>,
  expected: string,
): readonly SourceProblem[] {
  return references
    .filter((item) => typeof item.value === "string" && !known.has(item.value))
    .map((item) => createProblem(item, expected));
}

function createProblem(item: Located, expected: string): SourceProblem {
  const path = formatPath(item.path);
  return {
    file: item.file,
    path,
    expected,
    found: describeFound(item.value, path),
  };
}
