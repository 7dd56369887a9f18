/** Callers of the request tests, and what they look at. */
import { expect } from "chai";
import { type RequestFixture, SERVICE, TOKEN } from "./fixture_test.ts";

/** One call as a caller sees it. */
export interface CallerReply {
  readonly status: number;
  readonly code: string | null;
  readonly resultClass: string | null;
  readonly retryAfter: string | null;
  readonly body: string;
}

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

/** Marks a call non-idempotent. */
export const STRICT = { "coltsfootpond-idempotent": "false" };

export function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

export async function until(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 300 && !condition(); tries++) await sleep(5);
  expect(condition()).to.equal(true);
}

export function countExecutions(
  world: RequestFixture,
  requestId?: string,
): number {
  return world.runners
    .flatMap((runner) => runner.ledger.list())
    .filter((run) => requestId === undefined || run.requestId === requestId)
    .length;
}
