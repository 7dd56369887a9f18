/**
 * Bounds the reads of the store that callers' state queries cause at this entry, so that a crowd of
 * them leaves the store's rate, which all entries share, to the others.
 */
import type { Clock } from "@coltsfootpond/common";
import { TokenBucket } from "../../requests/token_bucket.ts";

/** Of the store's rate; the other half is for the entries' own reads. */
const CALLER_SHARE = 1 / 2;
const BURST_S = 1;

export interface StoreReadBudgetOptions {
  readonly clock: Clock;
  /** What the store allows to all entries together. */
  readonly readsPerSecond: number;
  /** Number of entries, this one included. */
  readonly countEntries: () => number;
}

export class StoreReadBudget {
  readonly #options: StoreReadBudgetOptions;
  readonly #bucket: TokenBucket;

  private constructor(options: StoreReadBudgetOptions) {
    this.#options = options;
    this.#bucket = TokenBucket.create(options.clock);
  }

  static create(options: StoreReadBudgetOptions): StoreReadBudget {
    return new StoreReadBudget(options);
  }

  /** Whether a read may be sent now; counts it if so. */
  take(): boolean {
    const { readsPerSecond, countEntries } = this.#options;
    const tokensPerSecond = readsPerSecond * CALLER_SHARE / countEntries();
    const maximumTokens = Math.max(1, tokensPerSecond * BURST_S);
    return this.#bucket.take({ tokensPerSecond, maximumTokens }).waitMs === 0;
  }
}
