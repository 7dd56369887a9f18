/** Public face of the stand-ins: small replacements of the platform and of runners, for tests. */
export * from "./platform/mod.ts";
