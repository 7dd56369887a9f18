/** Public face of `@coltsfootpond/node`: the entry's filters, controllers and mesh. */
export * from "./constants.ts";
export * from "./http/authenticator.ts";
export * from "./http/limits.ts";
export * from "./http/problem.ts";
export * from "./http/server.ts";
export * from "./http/types.ts";
export * from "./mesh/messages.ts";
export * from "./requests/create_request_routes.ts";
export * from "./meters/latency.ts";
export * from "./meters/metered_platform.ts";
export * from "./meters/meters.ts";
export * from "./meters/process_usage.ts";
export * from "./meters/prometheus.ts";
export * from "./meters/traffic.ts";
export * from "./rows.ts";
export * from "./types.ts";
export * from "./upstreams/balancing/choose.ts";
