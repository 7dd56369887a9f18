/** Parses the headers with which callers control a request. Errors are `MALFORMED`. */
import {
  brandId,
  CodedError,
  createUniqueId,
  MS_PER_SECOND,
  type RequestId,
} from "@coltsfootpond/common";
import {
  MAXIMUM_DEADLINE_MS,
  MAXIMUM_REQUEST_ID_LENGTH,
  MAXIMUM_WAIT_MS,
} from "./constants.ts";
import type { WaitPreference } from "./types.ts";

type Headers = Readonly<Record<string, string>>;

/** The id of a request and whether the caller chose it. */
export interface RequestKey {
  readonly requestId: RequestId;
  readonly keyed: boolean;
}

const REQUEST_ID_PATTERN = /^[A-Za-z0-9._~:-]+$/;
const WAIT_PATTERN = /^wait=(\d{1,6})$/;
const INTEGER_PATTERN = /^\d{1,10}$/;

function malformed(message: string): CodedError {
  return CodedError.create("MALFORMED", { message });
}

/** Validates a request id that a caller chose. */
export function parseRequestId(text: string): RequestId {
  const valid = text.length <= MAXIMUM_REQUEST_ID_LENGTH &&
    REQUEST_ID_PATTERN.test(text);
  if (!valid) {
    throw malformed(
      `a request id is 1 to ${MAXIMUM_REQUEST_ID_LENGTH} of A-Z a-z 0-9 . _ ~ : -`,
    );
  }
  return brandId<RequestId>(text);
}

/** Parses `Idempotency-Key`; creates an id when the caller sent none. */
export function parseRequestKey(headers: Headers): RequestKey {
  const text = headers["idempotency-key"];
  if (text === undefined) {
    return { requestId: brandId<RequestId>(createUniqueId()), keyed: false };
  }
  const unquoted = text.replace(/^"(.*)"$/, "$1");
  return { requestId: parseRequestId(unquoted), keyed: true };
}

/** Parses `Prefer`; unsupported preferences are ignored, as RFC 7240 requires. */
export function parseWaitPreference(headers: Headers): WaitPreference {
  let respondAsync = false;
  let waitMs: number | undefined;
  for (const part of (headers["prefer"] ?? "").split(",")) {
    const preference = part.trim().toLowerCase();
    if (preference === "respond-async") respondAsync = true;
    const seconds = WAIT_PATTERN.exec(preference)?.[1];
    if (seconds !== undefined) {
      waitMs = Math.min(Number(seconds) * MS_PER_SECOND, MAXIMUM_WAIT_MS);
    }
  }
  return { respondAsync, waitMs };
}

/** Parses `Deadline-Ms`, the remaining time of the request; undefined when absent. */
export function parseRemainingMs(headers: Headers): number | undefined {
  const text = headers["deadline-ms"];
  if (text === undefined) return undefined;
  if (!INTEGER_PATTERN.test(text)) {
    throw malformed(
      "Deadline-Ms is the remaining time in whole milliseconds",
    );
  }
  return Math.min(Number(text), MAXIMUM_DEADLINE_MS);
}

/**
 * Parses `Coltsfootpond-Idempotent`. Only `false` has an effect: a caller cannot declare a request
 * to a non-idempotent service idempotent.
 */
export function parseDeclaredNonIdempotent(headers: Headers): boolean {
  const text = headers["coltsfootpond-idempotent"]?.toLowerCase();
  if (text !== undefined && text !== "true" && text !== "false") {
    throw malformed("Coltsfootpond-Idempotent is true or false");
  }
  return text === "false";
}
