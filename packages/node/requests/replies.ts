/** Converts outcomes of requests to HTTP replies. */
import { Buffer } from "node:buffer";
import {
  assertNever,
  MS_PER_SECOND,
  type RequestId,
  RESULT,
  type ResultName,
} from "@coltsfootpond/common";
import {
  CLASS_HEADER,
  CODE_HEADER,
  createProblemReply,
} from "../http/problem.ts";
import type { HttpReply } from "../http/types.ts";
import { JOB_STATE } from "../rows.ts";
import type { JobStatus } from "../types.ts";
import { JOB_POLL_RETRY_AFTER_MS } from "./constants.ts";
import type { CallAnswer, RequestOutcome } from "./types.ts";

export const REQUEST_ID_HEADER = "coltsfootpond-request-id";
export const ATTEMPT_ID_HEADER = "coltsfootpond-attempt-id";

function createResultHeaders(
  resultName: ResultName,
  requestId: RequestId,
): Record<string, string> {
  return {
    [CODE_HEADER]: String(RESULT[resultName].code),
    [CLASS_HEADER]: RESULT[resultName].class,
    [REQUEST_ID_HEADER]: requestId,
  };
}

function createAnswerReply(
  answer: CallAnswer,
  requestId: RequestId,
): HttpReply {
  return {
    status: answer.status,
    headers: {
      ...createResultHeaders("ANSWERED", requestId),
      [ATTEMPT_ID_HEADER]: answer.attemptId,
      "content-type": answer.contentType,
    },
    body: answer.body,
  };
}

/** Creates a 202 with the state of the job and the `Location` of its answer. */
function createAcceptedReply(
  status: JobStatus,
  requestId: RequestId,
): HttpReply {
  const { jobId, state, failureDomain, waitReason } = status;
  const document = { requestId, jobId, state, failureDomain, waitReason };
  return {
    status: RESULT.ACCEPTED.httpStatus,
    headers: {
      ...createResultHeaders("ACCEPTED", requestId),
      "content-type": "application/json",
      "location": `/v1/requests/${encodeURIComponent(requestId)}`,
      "retry-after": String(Math.ceil(JOB_POLL_RETRY_AFTER_MS / MS_PER_SECOND)),
    },
    body: Buffer.from(JSON.stringify(document)),
  };
}

function createFailedReply(
  resultName: ResultName,
  requestId: RequestId,
  details: { readonly detail?: string; readonly retryAfterMs?: number } = {},
): HttpReply {
  return createProblemReply(resultName, {
    ...details,
    headers: { [REQUEST_ID_HEADER]: requestId },
  });
}

/** Creates the reply for a job in its current state. */
export function createJobReply(
  status: JobStatus,
  requestId: RequestId,
): HttpReply {
  switch (status.state) {
    case JOB_STATE.QUEUED:
    case JOB_STATE.PLACING:
    case JOB_STATE.RUNNING:
      return createAcceptedReply(status, requestId);
    case JOB_STATE.ANSWERED:
      return status.answer === undefined
        ? createFailedReply("OBJECTS_UNAVAILABLE", requestId, {
          retryAfterMs: JOB_POLL_RETRY_AFTER_MS,
        })
        : {
          status: RESULT.ANSWERED.httpStatus,
          headers: {
            ...createResultHeaders("ANSWERED", requestId),
            "content-type": "application/octet-stream",
          },
          body: status.answer,
        };
    case JOB_STATE.FAILED:
      return createFailedReply(status.resultName ?? "JOB_FAILED", requestId);
    case JOB_STATE.CANCELLED:
      return createFailedReply(status.resultName ?? "JOB_CANCELLED", requestId);
    default:
      return assertNever(status.state);
  }
}

/** Creates the reply for a request that has ended, or for a job in any state. */
export function createOutcomeReply(
  outcome: RequestOutcome,
  requestId: RequestId,
): HttpReply {
  switch (outcome.kind) {
    case "answered":
      return createAnswerReply(outcome.answer, requestId);
    case "job":
      return createJobReply(outcome.status, requestId);
    case "failed":
      return createFailedReply(outcome.resultName, requestId, {
        detail: outcome.detail,
        retryAfterMs: outcome.retryAfterMs,
      });
    default:
      return assertNever(outcome);
  }
}
