/**
 * The table client that the whole entry uses. It retries calls within the caller's time-out, with
 * full jitter, and settles writes: when the response to a write was lost, it reads the rows to
 * determine whether the write took effect.
 */
import type { Clock, Random } from "@coltsfootpond/common";
import type {
  CallOptions,
  ReadOutcome,
  TablePort,
  TableTransaction,
  TransactionOutcome,
  Unavailable,
} from "../types.ts";
import { unavailable } from "../unavailable.ts";
import { computeBackoffMs } from "./backoff.ts";
import { listSettlementKeys, settleTransaction } from "./settlement.ts";
import {
  type PrioritisedCallOptions,
  type PrioritisedTablePort,
  TABLE_HEALTH,
  type TableHealth,
  WRITE_PRIORITY,
} from "./types.ts";
import { WriteLimiter, type WriteLimiterOptions } from "./write_limiter.ts";

/** `port` sends single attempts to the table service. */
export interface ResilientTableOptions {
  readonly port: TablePort;
  readonly clock: Clock;
  readonly random: Random;
  /** Bound on one attempt, in milliseconds. */
  readonly attemptTimeoutMs?: number;
  /** Bounds on the rate of writes and on the number that wait. */
  readonly writeLimiter?: WriteLimiterOptions;
}

const DEFAULT_ATTEMPT_TIMEOUT_MS = 1_000;
/** An attempt that takes longer makes the health `slow`. */
const SLOW_ATTEMPT_MS = 250;
const BACKOFF = { baseMs: 50, maximumMs: 2_000 };

/** Deadline and retries of one call. */
interface RetryState {
  readonly deadlineMs: number;
  /** Number of retries so far. */
  retries: number;
  /** Whether some attempt without a usable response may have taken effect. */
  lost: boolean;
}

/** Retrying, rate-limited client of one table service. */
export class ResilientTable implements PrioritisedTablePort {
  readonly #port: TablePort;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #attemptTimeoutMs: number;
  readonly #writeLimiter: WriteLimiter;
  #health: TableHealth = TABLE_HEALTH.UP;
  #lastSuccessMs: number | undefined;

  private constructor(options: ResilientTableOptions) {
    this.#port = options.port;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#attemptTimeoutMs = options.attemptTimeoutMs ??
      DEFAULT_ATTEMPT_TIMEOUT_MS;
    this.#writeLimiter = WriteLimiter.create(
      options.clock,
      options.writeLimiter,
    );
  }

  static create(options: ResilientTableOptions): ResilientTable {
    return new ResilientTable(options);
  }

  /** By the last attempt: `down` without a usable response, `slow` if it took over 250 ms. */
  getHealth(): TableHealth {
    return this.#health;
  }

  /** When the service last responded, on this process's clock; undefined for never. */
  getLastSuccessMs(): number | undefined {
    return this.#lastSuccessMs;
  }

  /** Sets the number of entries that share the deployment's write rate equally. */
  setEntryCount(entryCount: number): void {
    this.#writeLimiter.setEntryCount(entryCount);
  }

  async transact(
    transaction: TableTransaction,
    options: PrioritisedCallOptions,
  ): Promise<TransactionOutcome> {
    const retryState = this.#createRetryState(options);
    const admission = await this.#writeLimiter.admit({
      rank: options.rank ?? WRITE_PRIORITY.OTHER,
      writes: transaction.writes.length,
      deadlineMs: retryState.deadlineMs,
    });
    if (admission.kind === "refused") {
      return unavailable("refused", admission.reason);
    }
    while (true) {
      const outcome = await this.#attempt(
        retryState,
        (timeoutMs) => this.#port.transact(transaction, { timeoutMs }),
      );
      if (outcome.kind === "committed") return outcome;
      if (outcome.kind === "conflict") {
        // The write of an earlier attempt, whose response was lost, may be the cause.
        if (!retryState.lost) return outcome;
        return await this.#settle(transaction, retryState);
      }
      // After a lost response only a conditional transaction is repeated: once it has taken effect,
      // its conditions on the rows that it wrote fail.
      const mayRetry = outcome.effect === "refused" ||
        transaction.conditions.length > 0;
      if (!mayRetry) return await this.#settle(transaction, retryState);
      if (!await this.#pause(retryState)) {
        return this.#createFailure(retryState, outcome);
      }
    }
  }

  read(keys: readonly string[], options: CallOptions): Promise<ReadOutcome> {
    return this.#retryRead(
      this.#createRetryState(options),
      (timeoutMs) => this.#port.read(keys, { timeoutMs }),
    );
  }

  scan(prefix: string, options: CallOptions): Promise<ReadOutcome> {
    return this.#retryRead(
      this.#createRetryState(options),
      (timeoutMs) => this.#port.scan(prefix, { timeoutMs }),
    );
  }

  async #retryRead(
    retryState: RetryState,
    call: (timeoutMs: number) => Promise<ReadOutcome>,
  ): Promise<ReadOutcome> {
    while (true) {
      const outcome = await this.#attempt(retryState, call);
      if (outcome.kind === "rows") return outcome;
      if (!await this.#pause(retryState)) {
        return this.#createFailure(retryState, outcome);
      }
    }
  }

  /** Determines from the current rows whether the transaction took effect. */
  async #settle(
    transaction: TableTransaction,
    retryState: RetryState,
  ): Promise<TransactionOutcome> {
    const read = await this.#retryRead(
      retryState,
      (timeoutMs) =>
        this.#port.read(listSettlementKeys(transaction), { timeoutMs }),
    );
    if (read.kind === "unavailable") return unavailable("lost", read.reason);
    const settlement = settleTransaction(transaction, read.rows);
    const written = new Set(transaction.writes.map((write) => write.key));
    const isConditional = transaction.conditions.length > 0;
    if (settlement === "made") {
      return {
        kind: "committed",
        rows: read.rows.filter((row) => written.has(row.key)),
      };
    }
    if (settlement === "not_made" && isConditional) {
      return { kind: "conflict", rows: read.rows };
    }
    return unavailable("lost", "later writes cover the trace of this one");
  }

  #createRetryState(options: CallOptions): RetryState {
    return {
      deadlineMs: this.#clock.nowMs() + options.timeoutMs,
      retries: 0,
      lost: false,
    };
  }

  async #attempt<Outcome extends { readonly kind: string }>(
    retryState: RetryState,
    call: (timeoutMs: number) => Promise<Outcome | Unavailable>,
  ): Promise<Outcome | Unavailable> {
    const startMs = this.#clock.nowMs();
    const timeoutMs = Math.min(
      this.#attemptTimeoutMs,
      retryState.deadlineMs - startMs,
    );
    if (timeoutMs <= 0) return unavailable("refused", "deadline");
    const outcome = await call(timeoutMs);
    const nowMs = this.#clock.nowMs();
    if (isUnavailable(outcome)) {
      this.#health = TABLE_HEALTH.DOWN;
      retryState.lost ||= outcome.effect === "lost";
      return outcome;
    }
    this.#lastSuccessMs = nowMs;
    this.#health = nowMs - startMs > SLOW_ATTEMPT_MS
      ? TABLE_HEALTH.SLOW
      : TABLE_HEALTH.UP;
    return outcome;
  }

  /** Waits before the next attempt; false, without waiting, when the deadline is earlier. */
  async #pause(retryState: RetryState): Promise<boolean> {
    const pauseMs = computeBackoffMs(this.#random, retryState.retries, BACKOFF);
    retryState.retries += 1;
    if (this.#clock.nowMs() + pauseMs >= retryState.deadlineMs) return false;
    await this.#clock.sleep(pauseMs);
    return true;
  }

  #createFailure(retryState: RetryState, last: Unavailable): Unavailable {
    return unavailable(retryState.lost ? "lost" : "refused", last.reason);
  }
}

function isUnavailable(
  outcome: { readonly kind: string },
): outcome is Unavailable {
  return outcome.kind === "unavailable";
}
