/**
 * Public exports of `@coltsfootpond/stand-ins`: small replacements of the platform and of runners
 * for tests, benches and the demo.
 */
export * from "./runner/runner_fault.ts";
export * from "./runner/runner_ledger.ts";
export * from "./runner/runner_stand_in.ts";
export * from "./platform/mod.ts";
export * from "./crowd/client_kinds.ts";
