/** Compile-time exhaustiveness check for discriminated unions. */

/** Throws when a switch over a union meets a member that the types say cannot exist. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}
