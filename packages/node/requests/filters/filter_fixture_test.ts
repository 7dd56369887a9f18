/** Helpers of the filter tests: requests, and a next step that records what it receives. */
import { brandId } from "@coltsfootpond/common";
import type { Handler } from "../filter_chain.ts";
import {
  CALL_SERVICE,
  createDeclarations,
  ORGANISATION,
} from "../fixture_test.ts";
import type { CallRequest, PinnedRequest, RequestOutcome } from "../types.ts";

export const ANSWERED: RequestOutcome = {
  kind: "answered",
  answer: {
    attemptId: brandId("attempt"),
    status: 200,
    contentType: "text/plain",
    body: new Uint8Array(1),
  },
};

export function createPinned(
  headers: Readonly<Record<string, string>> = {},
  change: Partial<PinnedRequest> = {},
): PinnedRequest {
  return {
    exchange: {
      method: "POST",
      path: "",
      parameters: {},
      query: new URLSearchParams(),
      headers,
      body: new Uint8Array(4),
      receivedMs: 1_000,
      signal: new AbortController().signal,
      organisation: ORGANISATION.name,
    },
    serviceName: CALL_SERVICE.name,
    requestId: brandId("request"),
    keyed: true,
    configuration: {
      version: 3,
      head: {} as never,
      declarations: createDeclarations(),
    },
    ...change,
  };
}

export function createCall(change: Partial<CallRequest> = {}): CallRequest {
  return {
    ...createPinned(),
    organisation: ORGANISATION,
    wait: { respondAsync: false },
    declaredNonIdempotent: false,
    service: CALL_SERVICE,
    idempotent: true,
    deadlineMs: 2_000,
    signal: undefined,
    ...change,
  };
}

/** Creates a next step that records its requests and returns `outcome`. */
export function createNext<Request>(outcome: RequestOutcome = ANSWERED) {
  const seen: Request[] = [];
  const next: Handler<Request> = (request) => {
    seen.push(request);
    return Promise.resolve(outcome);
  };
  return { seen, next };
}

/** The result name of a failed outcome, else its kind. */
export function getName(outcome: RequestOutcome): string {
  return outcome.kind === "failed" ? outcome.resultName : outcome.kind;
}
