/** Public face of `@coltsfootpond/node`: the entry's filters, controllers and mesh. */
export * from "./constants.ts";
export * from "./http/types.ts";
export * from "./mesh/messages.ts";
export * from "./rows.ts";
export * from "./types.ts";
