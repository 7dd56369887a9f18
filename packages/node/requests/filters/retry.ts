/**
 * Tries a call again on another runner. Non-idempotent calls only after a proven `not_run`; nothing
 * past the deadline; within the service's budget; after a backoff with full jitter (Brooker, 2015).
 * One attempt that may have run keeps the whole call `unknown`, whatever a later attempt proves.
 */
import {
  type Clock,
  type Random,
  RESULT,
  RESULT_CLASS,
  type ResultName,
  type RunnerName,
  type ServiceName,
} from "@coltsfootpond/common";
import { computeBackoffMs } from "@coltsfootpond/ports";
import type { RequestFilter } from "../filter_chain.ts";
import { BACKOFF, MAXIMUM_ATTEMPTS } from "../constants.ts";
import { RetryBudget } from "../retry_budget.ts";
import type {
  AttemptRequest,
  CallRequest,
  FailedOutcome,
  RequestOutcome,
} from "../types.ts";

export interface RetryOptions {
  readonly clock: Clock;
  readonly random: Random;
}

/** Results that another runner may turn into an answer. */
const CURABLE: ReadonlySet<ResultName> = new Set<ResultName>([
  "UPSTREAM_REFUSED",
  "UPSTREAM_UNREACHABLE",
  "UPSTREAM_LOST",
  "UPSTREAM_TIMEOUT",
  "UPSTREAM_MISMATCH",
  "UPSTREAM_TRUNCATED",
  "UPSTREAM_FAILED",
]);

function isProvenNotRun(outcome: FailedOutcome): boolean {
  return RESULT[outcome.resultName].class === RESULT_CLASS.NOT_RUN;
}

/** Whether the call may be tried again without running twice what must not. */
export function mayTryAgain(
  request: CallRequest,
  outcome: FailedOutcome,
): boolean {
  if (!CURABLE.has(outcome.resultName) || request.signal?.aborted) return false;
  return isProvenNotRun(outcome) || request.idempotent;
}

export function createRetryFilter(
  options: RetryOptions,
): RequestFilter<CallRequest, AttemptRequest> {
  const { clock, random } = options;
  const budgets = new Map<ServiceName, RetryBudget>();

  function getBudget(service: ServiceName): RetryBudget {
    let budget = budgets.get(service);
    if (budget === undefined) {
      budget = RetryBudget.create();
      budgets.set(service, budget);
    }
    return budget;
  }

  return {
    name: "retry",
    async handle(request, next): Promise<RequestOutcome> {
      const budget = getBudget(request.service.name);
      budget.earn(request.service.retryBudgetShare);
      const avoid = new Set<RunnerName>();
      let unsettled: FailedOutcome | undefined;
      for (let attemptNumber = 1;; attemptNumber++) {
        const outcome = await next({ ...request, attemptNumber, avoid });
        if (outcome.kind !== "failed") return outcome;
        if (!isProvenNotRun(outcome)) unsettled = outcome;
        if (outcome.runner !== undefined) avoid.add(outcome.runner);
        const backoffMs = computeBackoffMs(random, attemptNumber - 1, BACKOFF);
        const again = attemptNumber < MAXIMUM_ATTEMPTS &&
          mayTryAgain(request, outcome) &&
          clock.nowMs() + backoffMs < request.deadlineMs &&
          budget.spend();
        if (!again) return unsettled ?? outcome;
        await clock.sleep(backoffMs);
        if (request.signal?.aborted) return unsettled ?? outcome;
      }
    },
  };
}
