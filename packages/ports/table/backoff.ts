/** Exponential backoff with full jitter (Brooker, "Exponential Backoff and Jitter", 2015). */
import type { Random } from "@coltsfootpond/common";

/**
 * The pause is drawn uniformly between 0 and a ceiling: `baseMs`, doubled with each attempt, at most
 * `maximumMs`.
 */
export interface BackoffOptions {
  readonly baseMs: number;
  readonly maximumMs: number;
}

/** The pause before retry number `attempt`, counted from 0. */
export function computeBackoffMs(
  random: Random,
  attempt: number,
  options: BackoffOptions,
): number {
  const ceilingMs = Math.min(options.maximumMs, options.baseMs * 2 ** attempt);
  return random.next() * ceilingMs;
}
