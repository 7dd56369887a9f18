/** Helpers of the request tests that send requests as callers and count executions. */
import { expect } from "chai";
import { type RequestFixture, SERVICE, TOKEN } from "./fixture_test.ts";

/** A reply as received by a caller. */
export interface CallerReply {
  readonly status: number;
  readonly code: string | null;
  readonly resultClass: string | null;
  readonly retryAfter: string | null;
  readonly body: string;
}

/** A request of a caller; by default a call to `SERVICE`. */
export interface CallerRequest {
  readonly port: number;
  readonly method?: string;
  readonly path?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

export async function send(request: CallerRequest): Promise<CallerReply> {
  const { port, method = "POST", body, headers, signal } = request;
  const path = request.path ?? `/v1/services/${SERVICE}/requests`;
  const response = await fetch(`http://127.0.0.1:${port}${path}`, {
    method,
    body: method === "POST" ? body ?? "hello" : undefined,
    headers: {
      authorization: `Bearer ${TOKEN}`,
      connection: "close",
      ...headers,
    },
    signal,
  });
  return {
    status: response.status,
    code: response.headers.get("coltsfootpond-code"),
    resultClass: response.headers.get("coltsfootpond-class"),
    retryAfter: response.headers.get("retry-after"),
    body: await response.text(),
  };
}

/** Headers that declare a call non-idempotent. */
export const NON_IDEMPOTENT = { "coltsfootpond-idempotent": "false" };

export function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/** Polls the condition for at most 1.5 s and fails when it stays false. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 300 && !condition(); tries++) await sleep(5);
  expect(condition()).to.equal(true);
}

/** Counts executions on all runner stand-ins, of one request id or of all. */
export function countExecutions(
  fixture: RequestFixture,
  requestId?: string,
): number {
  return fixture.runners
    .flatMap((runner) => runner.ledger.list())
    .filter((run) => requestId === undefined || run.requestId === requestId)
    .length;
}
