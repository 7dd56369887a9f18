/** Retries allowed as a share of fresh requests, so that retrying cannot multiply an overload. */
import { RETRY_BUDGET_MAXIMUM, RETRY_BUDGET_RESERVE } from "./constants.ts";

export class RetryBudget {
  #tokens = RETRY_BUDGET_RESERVE;

  private constructor() {}

  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** A fresh request earns `share` of a retry. */
  earn(share: number): void {
    this.#tokens = Math.min(this.#tokens + share, RETRY_BUDGET_MAXIMUM);
  }

  /** False when the budget is used up. */
  spend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
