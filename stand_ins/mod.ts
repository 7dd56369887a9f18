/** Public face of the stand-ins: small replacements of the platform and of runners, for tests. */
export * from "./runner/runner_fault.ts";
export * from "./runner/runner_ledger.ts";
export * from "./runner/runner_stand_in.ts";
export * from "./platform/mod.ts";
