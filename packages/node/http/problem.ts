/** Problem documents (RFC 9457) with the result code, its class and `Retry-After`. */
import { Buffer } from "node:buffer";
import {
  MS_PER_SECOND,
  RESULT,
  type ResultName,
  toCodedError,
} from "@coltsfootpond/common";
import type { HttpReply } from "./types.ts";

/** Contents of a problem document beyond its result code. */
export interface ProblemDetails {
  readonly detail?: string;
  /** When the caller may retry; `Retry-After` is rounded up to whole seconds. */
  readonly retryAfterMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
}

export const CODE_HEADER = "coltsfootpond-code";
export const CLASS_HEADER = "coltsfootpond-class";

/** Creates the reply for a result that is not an answer. */
export function createProblemReply(
  resultName: ResultName,
  details: ProblemDetails = {},
): HttpReply {
  const result = RESULT[resultName];
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
    [CODE_HEADER]: String(result.code),
    [CLASS_HEADER]: result.class,
    ...details.headers,
  };
  if (details.retryAfterMs !== undefined) {
    headers["retry-after"] = String(
      Math.max(1, Math.ceil(details.retryAfterMs / MS_PER_SECOND)),
    );
  }
  const document = {
    type: `urn:coltsfootpond:result:${result.code}`,
    title: result.title,
    status: result.httpStatus,
    code: result.code,
    class: result.class,
    name: resultName,
    detail: details.detail,
    retryAfterMs: details.retryAfterMs,
  };
  return {
    status: result.httpStatus,
    headers,
    body: Buffer.from(JSON.stringify(document)),
  };
}

/** Creates the reply for a thrown error; the message of an internal error is not sent. */
export function createErrorReply(error: unknown): HttpReply {
  const coded = toCodedError(error);
  return createProblemReply(coded.resultName, {
    detail: coded.resultName === "INTERNAL" ? undefined : coded.message,
    retryAfterMs: coded.retryAfterMs,
  });
}
