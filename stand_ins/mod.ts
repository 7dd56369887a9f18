/** Public face of the stand-ins: small replacements of the platform and of runners, for tests. */
export * from "./runner/faults.ts";
export * from "./runner/ledger.ts";
export * from "./runner/runner.ts";
export * from "./platform/mod.ts";
