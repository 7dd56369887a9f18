/** The last step of the chain: sends one attempt to one runner. */
import {
  type AttemptId,
  brandId,
  type Clock,
  createUniqueId,
  type EventSink,
  RESULT,
} from "@coltsfootpond/common";
import type { UpstreamPool } from "../../upstreams/pool.ts";
import { FAILURE_CAUSE, type UpstreamOutcome } from "../../upstreams/types.ts";
import type { Handler } from "../filter_chain.ts";
import { MINIMUM_RETRY_AFTER_MS } from "../constants.ts";
import type { Admissions } from "./admission.ts";
import { type AttemptRequest, failed, type RequestOutcome } from "../types.ts";

export interface AttemptOptions {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly pool: UpstreamPool;
  readonly admissions: Admissions;
}

function createHeaders(
  request: AttemptRequest,
  remainingMs: number,
): Record<string, string> {
  return {
    "x-request-id": request.requestId,
    "x-organisation": request.organisation.name,
    "x-service": request.service.name,
    "x-attempt-number": String(request.attemptNumber),
    "x-deadline-ms": String(Math.ceil(remainingMs)),
    "content-type": request.exchange.headers["content-type"] ??
      "application/octet-stream",
  };
}

export function createAttemptHandler(
  options: AttemptOptions,
): Handler<AttemptRequest> {
  const { clock, events, pool } = options;

  function emit(
    request: AttemptRequest,
    attemptId: AttemptId,
    runner: string,
    outcome: UpstreamOutcome,
    startedMs: number,
  ): void {
    const resultName = outcome.kind === "answered"
      ? "ANSWERED"
      : outcome.resultName;
    events.emit("call.attempt", {
      requestId: request.requestId,
      attemptId,
      runner,
      service: request.service.name,
      organisation: request.organisation.name,
      code: RESULT[resultName].code,
      durationMs: clock.nowMs() - startedMs,
    });
  }

  return async (request): Promise<RequestOutcome> => {
    const { avoid, deadlineMs, signal } = request;
    const { service } = request;
    const runner = await pool.acquire({ service, avoid, deadlineMs, signal });
    const startedMs = clock.nowMs();
    const remainingMs = deadlineMs - startedMs;
    if (remainingMs <= 0) {
      runner?.releaseSlot();
      const retryAfterMs = MINIMUM_RETRY_AFTER_MS;
      return failed("DEADLINE_UNREACHABLE", { retryAfterMs });
    }
    if (runner === undefined) {
      return failed("NO_UPSTREAM", { retryAfterMs: MINIMUM_RETRY_AFTER_MS });
    }
    const attemptId = brandId<AttemptId>(createUniqueId());
    const outcome = await runner.run({
      attemptId,
      headers: createHeaders(request, remainingMs),
      body: request.exchange.body,
      idempotent: request.idempotent,
      progressTimeoutMs: request.service.progressTimeoutMs,
      deadlineMs: request.deadlineMs,
      signal: request.signal,
    });
    emit(request, attemptId, runner.name, outcome, startedMs);
    const admission = options.admissions.get(service);
    if (outcome.kind === "failed") {
      admission.recordFailed(outcome.cause === FAILURE_CAUSE.FULL);
      const { resultName, detail } = outcome;
      return failed(resultName, { detail, runner: runner.name });
    }
    admission.recordAnswered(clock.nowMs() - startedMs);
    const { status, contentType, body } = outcome;
    const answer = { attemptId, status, contentType, body };
    return { kind: "answered", answer };
  };
}
