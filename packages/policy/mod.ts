/** Public face of `@coltsfootpond/policy`: pure decisions on placement, order and balance. */
export * from "./types.ts";
