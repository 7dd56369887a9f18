/** Compile-time exhaustiveness check for discriminated unions. */

/** Default branch of a switch over a union; throws when a value outside the union reaches it. */
export function assertNever(value: never): never {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`);
}
