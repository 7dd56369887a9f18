/**
 * Keeps keyed calls to one run. A non-idempotent one claims its row first and runs only with the
 * claim; a resend gets the recorded answer, or the truth that an earlier attempt is not settled.
 * Idempotent ones run without a claim, so they are served while the table service is away; their
 * answers are recorded afterwards.
 */
import { RESULT, RESULT_CLASS } from "@coltsfootpond/common";
import type { CallClaim, CallKey, CallRecords } from "../call_records.ts";
import type { Handler, RequestFilter } from "../filter_chain.ts";
import { UNREADY_RETRY_AFTER_MS } from "../constants.ts";
import { digestBody } from "../digest_body.ts";
import type { AnswerRecorder } from "../answer_recorder.ts";
import { type CallRequest, failed, type RequestOutcome } from "../types.ts";
import { replayCall } from "../replay_call.ts";

export interface DeduplicateOptions {
  readonly records: CallRecords;
  readonly recorder: AnswerRecorder;
}

function getCallKey(request: CallRequest): CallKey {
  return {
    organisation: request.organisation.name,
    requestId: request.requestId,
    service: request.service.name,
    bodyDigest: digestBody(request.exchange.body),
  };
}

export function createDeduplicateFilter(
  options: DeduplicateOptions,
): RequestFilter<CallRequest, CallRequest> {
  const { records, recorder } = options;

  /** Tries once while the caller waits, then goes on without it. */
  async function record(tryRecord: () => Promise<boolean>): Promise<void> {
    if (!await tryRecord()) recorder.add(tryRecord);
  }

  async function settle(
    claim: CallClaim,
    outcome: RequestOutcome,
  ): Promise<void> {
    if (outcome.kind === "answered") {
      await record(() => records.recordAnswer(claim, outcome.answer));
      return;
    }
    if (outcome.kind !== "failed") return;
    const { resultName } = outcome;
    const notRun = RESULT[resultName].class === RESULT_CLASS.NOT_RUN;
    const state = notRun ? "not_run" : "unknown";
    await record(() => records.settle(claim, { state, resultName }));
  }

  async function runClaimed(
    request: CallRequest,
    next: Handler<CallRequest>,
  ): Promise<RequestOutcome> {
    const claimed = await records.claim(getCallKey(request));
    switch (claimed.kind) {
      case "unavailable":
        return failed("TABLE_UNAVAILABLE", {
          retryAfterMs: UNREADY_RETRY_AFTER_MS,
        });
      case "conflict":
        return failed("REQUEST_ID_CONFLICT");
      case "present":
        return await replayCall(records, claimed.row);
      case "claimed": {
        const outcome = await next(request);
        await settle(claimed.claim, outcome);
        return outcome;
      }
    }
  }

  return {
    name: "deduplicate",
    async handle(request, next) {
      if (!request.keyed) return await next(request);
      if (!request.idempotent) return await runClaimed(request, next);
      const outcome = await next(request);
      if (outcome.kind === "answered") {
        recorder.add(() =>
          records.recordUnclaimed(getCallKey(request), outcome.answer)
        );
      }
      return outcome;
    },
  };
}
