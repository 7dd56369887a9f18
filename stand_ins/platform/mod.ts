/** Public exports of the platform stand-in. */
export * from "./balancer.ts";
export * from "./platform_server.ts";
export * from "./platform_stand_in.ts";
export * from "./types.ts";
