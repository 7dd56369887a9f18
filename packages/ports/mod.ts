/** Public exports of `@coltsfootpond/ports`: ports to the platform, and their HTTP clients. */
export * from "./constants.ts";
export * from "./http/http_client.ts";
export * from "./http/http_platform.ts";
export * from "./types.ts";
export * from "./unavailable.ts";
export * from "./table/fault_injector.ts";
export * from "./table/memory_table.ts";
export * from "./table/backoff.ts";
export * from "./table/resilient_table.ts";
export * from "./table/settlement.ts";
export * from "./table/types.ts";
export * from "./table/write_limiter.ts";
export * from "./cell/declared_state.ts";
export * from "./cell/settings.ts";
export * from "./cell/store.ts";
export * from "./cell/codecs.ts";
export * from "./cell/workers.ts";
