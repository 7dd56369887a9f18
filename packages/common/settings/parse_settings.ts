/** Parses the settings file of an entry of `coltsfootpondd`. */
import type { EntryName, FailureDomainName, RegionName } from "../ids.ts";
import { MAXIMUM_PORT } from "../port.ts";
import { toCamelCase } from "../toml/camel_case.ts";
import {
  digest,
  durationMs,
  integer,
  list,
  name,
  table,
  text,
} from "../toml/fields.ts";
import { checkSchema, parseToml } from "../toml/parse_toml.ts";
import type { SourceProblem } from "../toml/problem.ts";
import type { EntrySettings } from "../types.ts";

const MINIMUM_SECRET_LENGTH = 16;
const DEFAULT_STOP_TIMEOUT_MS = 30_000;

function port(minimum: number) {
  return integer({ unit: "port", minimum, maximum: MAXIMUM_PORT });
}

const SETTINGS_SCHEMA = table({
  entry: name<EntryName>(),
  region: name<RegionName>(),
  failure_domain: name<FailureDomainName>(),
  host: text("the address of this entry"),
  /** 0 listens on any free port. */
  http_port: port(0),
  mesh_port: port(0),
  platform_host: text("the address of the platform"),
  platform_port: port(1),
  mesh_secret: text(
    `a secret of at least ${MINIMUM_SECRET_LENGTH} characters`,
    MINIMUM_SECRET_LENGTH,
  ),
  bootstrap_operator_token_digests: list(digest(), "token digests").default([]),
  log_namespaces: text("debug namespaces", 0).default("coltsfootpond:*"),
  stop_timeout_ms: durationMs().default(DEFAULT_STOP_TIMEOUT_MS),
});

/** The text of a settings file, and its name for problems. */
export interface SettingsFile {
  readonly text: string;
  readonly fileName: string;
}

/** `problems` holds at least one problem. */
export type SettingsOutcome =
  | { readonly kind: "valid"; readonly settings: EntrySettings }
  | { readonly kind: "invalid"; readonly problems: readonly SourceProblem[] };

/** Parses and checks a settings file; reports all problems at once. */
export function parseSettings(file: SettingsFile): SettingsOutcome {
  const parsed = parseToml({ name: file.fileName, text: file.text });
  if (parsed.kind === "malformed") {
    return { kind: "invalid", problems: [parsed.problem] };
  }
  const checked = checkSchema(SETTINGS_SCHEMA, parsed.table, file.fileName);
  if (checked.kind === "invalid") return checked;
  return { kind: "valid", settings: toCamelCase(checked.output) };
}
