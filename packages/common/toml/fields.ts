/** zod schemas of single fields; each message names the expected value and its unit. */
import { z } from "zod";
import { type Branded, brandId, type Digest } from "../ids.ts";
import { MS_PER_DAY } from "../units.ts";

const NAME_PATTERN = /^[a-z0-9][a-z0-9_.-]{0,62}$/;
const DIGEST_PATTERN = /^[0-9a-f]{64}$/;
const MAXIMUM_DURATION_MS = 31 * MS_PER_DAY;
const MAXIMUM_COUNT = 1_000_000_000;

/** Unit and inclusive bounds of a whole number, by default 0 and `MAXIMUM_COUNT`. */
export interface IntegerOptions {
  readonly unit: string;
  readonly minimum?: number;
  readonly maximum?: number;
}

/** A whole number within bounds. */
export function integer(options: IntegerOptions) {
  const minimum = options.minimum ?? 0;
  const maximum = options.maximum ?? MAXIMUM_COUNT;
  const message =
    `a whole number (${options.unit}) from ${minimum} to ${maximum}`;
  return z.int({ error: message }).min(minimum, message).max(maximum, message);
}

/** A duration in milliseconds, from 1 ms to 31 days. */
export function durationMs() {
  return integer({
    unit: "milliseconds",
    minimum: 1,
    maximum: MAXIMUM_DURATION_MS,
  });
}

/** A number from `minimum` to `maximum`. */
export function number(minimum: number, maximum: number) {
  const message = `a number from ${minimum} to ${maximum}`;
  return z.number(message).min(minimum, message).max(maximum, message);
}

/** A name that is safe in URL paths and row keys. */
export function name<Id extends Branded<string>>() {
  const message =
    "a name of at most 63 lower-case letters, digits, dots, dashes and underscores";
  return z.string(message).regex(NAME_PATTERN, message).transform((text) =>
    brandId<Id>(text)
  );
}

/** The hex SHA-256 of a bearer token. */
export function digest() {
  const message = "a SHA-256 digest of 64 lower-case hex digits";
  return z.string(message).regex(DIGEST_PATTERN, message).transform((text) =>
    brandId<Digest>(text)
  );
}

export function flag() {
  return z.boolean("true or false");
}

/** A text of at most 4,096 characters; `what` describes it in messages. */
export function text(what: string, minimumLength = 1) {
  return z.string(what).min(minimumLength, what).max(4_096, what);
}

/** One of the values of a constant object. */
export function oneOf<const Values extends Readonly<Record<string, string>>>(
  values: Values,
) {
  const listed = Object.values(values).map((value) => `"${value}"`).join(", ");
  return z.enum(values, `one of ${listed}`);
}

/** A list; `what` names its items in messages. */
export function list<Item extends z.ZodType>(item: Item, what: string) {
  return z.array(item, `a list of ${what}`);
}

/** A TOML table; unknown keys are reported as problems. */
export function table<Fields extends z.core.$ZodLooseShape>(fields: Fields) {
  return z.strictObject(fields, "a table");
}
