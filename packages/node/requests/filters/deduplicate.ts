/**
 * Filter that runs a keyed non-idempotent call at most once: the call must claim its request row
 * first. A call is keyed when its caller chose the request id. A resend gets the recorded answer,
 * or `ATTEMPT_UNSETTLED` while the outcome is not known. Idempotent calls run without a claim, so
 * they are served while the table service is unavailable; their answers are recorded afterwards.
 */
import { type EventSubject, RESULT, RESULT_CLASS } from "@coltsfootpond/common";
import type { CallClaim, CallKey, CallRecords } from "../call_records.ts";
import type { Handler, RequestFilter } from "../filter_chain.ts";
import { MINIMUM_RETRY_AFTER_MS } from "../constants.ts";
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

function getSubject({ requestId, service }: CallRequest): EventSubject {
  return { requestId, service: service.name };
}

export function createDeduplicateFilter(
  options: DeduplicateOptions,
): RequestFilter<CallRequest, CallRequest> {
  const { records, recorder } = options;

  /** Writes once while the caller waits; if that fails, retries in the background. */
  async function writeOrRetryLater(
    subject: EventSubject,
    writeRecord: () => Promise<boolean>,
  ): Promise<void> {
    if (!await writeRecord()) recorder.add(subject, writeRecord);
  }

  async function recordClaimedOutcome(
    subject: EventSubject,
    claim: CallClaim,
    outcome: RequestOutcome,
  ): Promise<void> {
    if (outcome.kind === "answered") {
      await writeOrRetryLater(
        subject,
        () => records.recordAnswer(claim, outcome.answer),
      );
      return;
    }
    if (outcome.kind !== "failed") return;
    const { resultName } = outcome;
    const notRun = RESULT[resultName].class === RESULT_CLASS.NOT_RUN;
    const state = notRun ? "not_run" : "unknown";
    await writeOrRetryLater(
      subject,
      () => records.recordOutcome(claim, { state, resultName }),
    );
  }

  async function runClaimed(
    request: CallRequest,
    next: Handler<CallRequest>,
  ): Promise<RequestOutcome> {
    const claimOutcome = await records.claim(getCallKey(request));
    switch (claimOutcome.kind) {
      case "unavailable":
        return failed("TABLE_UNAVAILABLE", {
          retryAfterMs: MINIMUM_RETRY_AFTER_MS,
        });
      case "conflict":
        return failed("REQUEST_ID_CONFLICT");
      case "present":
        return await replayCall(records, claimOutcome.row);
      case "claimed": {
        const outcome = await next(request);
        await recordClaimedOutcome(
          getSubject(request),
          claimOutcome.claim,
          outcome,
        );
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
        recorder.add(
          getSubject(request),
          () =>
            records.recordUnclaimedAnswer(getCallKey(request), outcome.answer),
        );
      }
      return outcome;
    },
  };
}
