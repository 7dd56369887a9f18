/**
 * Filter that retries a call, preferably on another runner, after a backoff with full jitter
 * (Brooker, 2015), before the deadline and within the service's retry budget. Non-idempotent calls
 * are retried only after a proven `not_run`. When no attempt is answered and one of them may have
 * run, the outcome of the call is `unknown`, even if a later attempt is proven not to have run.
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

/** Results after which another attempt may succeed. */
const RETRYABLE_RESULTS: ReadonlySet<ResultName> = new Set<ResultName>([
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

/** Whether the call may be retried without running a non-idempotent call twice. */
export function mayRetry(
  request: CallRequest,
  outcome: FailedOutcome,
): boolean {
  if (!RETRYABLE_RESULTS.has(outcome.resultName) || request.signal?.aborted) {
    return false;
  }
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
      let possiblyRun: FailedOutcome | undefined;
      for (let attemptNumber = 1;; attemptNumber++) {
        const outcome = await next({ ...request, attemptNumber, avoid });
        if (outcome.kind !== "failed") return outcome;
        if (!isProvenNotRun(outcome)) possiblyRun = outcome;
        if (outcome.runner !== undefined) avoid.add(outcome.runner);
        const backoffMs = computeBackoffMs(random, attemptNumber - 1, BACKOFF);
        const willRetry = attemptNumber < MAXIMUM_ATTEMPTS &&
          mayRetry(request, outcome) &&
          clock.nowMs() + backoffMs < request.deadlineMs &&
          budget.spend();
        if (!willRetry) return possiblyRun ?? outcome;
        await clock.sleep(backoffMs);
        if (request.signal?.aborted) return possiblyRun ?? outcome;
      }
    },
  };
}
