/** A token bucket for request rates, on an injected clock. */
import type { Clock } from "@coltsfootpond/common";
import { MS_PER_SECOND } from "@coltsfootpond/common";

/** Rate and burst of a bucket; both may change between uses. */
export interface BucketRate {
  readonly tokensPerSecond: number;
  readonly maximumTokens: number;
}

/** One per organisation in the limits filter. Starts full. */
export class TokenBucket {
  readonly #clock: Clock;
  #tokens: number | undefined;
  #filledMs: number;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#filledMs = clock.nowMs();
  }

  static create(clock: Clock): TokenBucket {
    return new TokenBucket(clock);
  }

  /** Takes a token, or returns the milliseconds until one is available. */
  take(rate: BucketRate): { readonly waitMs: number } {
    const nowMs = this.#clock.nowMs();
    const gained = (nowMs - this.#filledMs) * rate.tokensPerSecond /
      MS_PER_SECOND;
    const filled = (this.#tokens ?? rate.maximumTokens) + gained;
    this.#tokens = Math.min(filled, rate.maximumTokens);
    this.#filledMs = nowMs;
    if (this.#tokens >= 1) {
      this.#tokens -= 1;
      return { waitMs: 0 };
    }
    const missing = 1 - this.#tokens;
    return { waitMs: missing / rate.tokensPerSecond * MS_PER_SECOND };
  }
}
