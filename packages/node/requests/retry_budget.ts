/** Limits retries to a share of first attempts, so that retries cannot amplify an overload. */
import { RETRY_BUDGET_MAXIMUM, RETRY_BUDGET_RESERVE } from "./constants.ts";

/** One per service. */
export class RetryBudget {
  #tokens = RETRY_BUDGET_RESERVE;

  private constructor() {}

  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Adds `share` of a retry; called for each request. */
  earn(share: number): void {
    this.#tokens = Math.min(this.#tokens + share, RETRY_BUDGET_MAXIMUM);
  }

  /** Takes one retry; returns false when the budget is used up. */
  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
