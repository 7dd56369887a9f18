/** Public exports of `@coltsfootpond/common`: time, ids, result codes, events, declared types. */
export * from "./assert_never.ts";
export * from "./clock.ts";
export * from "./declarations/parse_declarations.ts";
export * from "./errors.ts";
export * from "./events.ts";
export * from "./ids.ts";
export * from "./log.ts";
export * from "./port.ts";
export * from "./random.ts";
export * from "./result_codes.ts";
export * from "./settings/parse_settings.ts";
export {
  parseToml,
  type TomlFile,
  type TomlOutcome,
} from "./toml/parse_toml.ts";
export * from "./toml/problem.ts";
export * from "./types.ts";
export * from "./units.ts";
