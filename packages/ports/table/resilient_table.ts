/**
 * The client through which every part uses the table service: it retries within the caller's
 * deadline with full jitter, and settles writes whose answer was lost instead of guessing.
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

export interface ResilientTableOptions {
  readonly port: TablePort;
  readonly clock: Clock;
  readonly random: Random;
  /** Bound on one attempt, in milliseconds. */
  readonly attemptTimeoutMs?: number;
  /** Bounds on the writes that wait and on their rate. */
  readonly gate?: WriteLimiterOptions;
}

const DEFAULT_ATTEMPT_TIMEOUT_MS = 1_000;
const SLOW_ANSWER_MS = 250;
const BACKOFF = { baseMs: 50, maximumMs: 2_000 };

/** What one call may still do. */
interface Progress {
  readonly deadlineMs: number;
  attempt: number;
  /** Whether an earlier attempt may have taken effect. */
  lost: boolean;
}

export class ResilientTable implements PrioritisedTablePort {
  readonly #port: TablePort;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #attemptTimeoutMs: number;
  readonly #gate: WriteLimiter;
  #health: TableHealth = TABLE_HEALTH.UP;
  #lastSuccessMs: number | undefined;

  private constructor(options: ResilientTableOptions) {
    this.#port = options.port;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#attemptTimeoutMs = options.attemptTimeoutMs ??
      DEFAULT_ATTEMPT_TIMEOUT_MS;
    this.#gate = WriteLimiter.create(options.clock, options.gate);
  }

  static create(options: ResilientTableOptions): ResilientTable {
    return new ResilientTable(options);
  }

  /** Down: the last attempt got no answer. Slow: it got one late. */
  getHealth(): TableHealth {
    return this.#health;
  }

  /** When the service last answered, on this process's clock. */
  getLastSuccessMs(): number | undefined {
    return this.#lastSuccessMs;
  }

  /** Divides the write budget of the whole deployment among so many entries. */
  setEntryCount(sharers: number): void {
    this.#gate.setEntryCount(sharers);
  }

  async transact(
    transaction: TableTransaction,
    options: PrioritisedCallOptions,
  ): Promise<TransactionOutcome> {
    const progress = this.#begin(options);
    const admission = await this.#gate.admit({
      rank: options.rank ?? WRITE_PRIORITY.REST,
      writes: transaction.writes.length,
      deadlineMs: progress.deadlineMs,
    });
    if (admission.kind === "refused") {
      return unavailable("refused", admission.reason);
    }
    while (true) {
      const outcome = await this.#attempt(
        progress,
        (timeoutMs) => this.#port.transact(transaction, { timeoutMs }),
      );
      if (outcome.kind === "committed") return outcome;
      if (outcome.kind === "conflict") {
        if (!progress.lost) return outcome;
        return await this.#settle(transaction, progress);
      }
      const mayRetry = outcome.effect === "refused" ||
        transaction.conditions.length > 0;
      if (!mayRetry) return await this.#settle(transaction, progress);
      if (!await this.#pause(progress)) return this.#giveUp(progress, outcome);
    }
  }

  read(keys: readonly string[], options: CallOptions): Promise<ReadOutcome> {
    return this.#retryRead(
      this.#begin(options),
      (timeoutMs) => this.#port.read(keys, { timeoutMs }),
    );
  }

  scan(prefix: string, options: CallOptions): Promise<ReadOutcome> {
    return this.#retryRead(
      this.#begin(options),
      (timeoutMs) => this.#port.scan(prefix, { timeoutMs }),
    );
  }

  async #retryRead(
    progress: Progress,
    call: (timeoutMs: number) => Promise<ReadOutcome>,
  ): Promise<ReadOutcome> {
    while (true) {
      const outcome = await this.#attempt(progress, call);
      if (outcome.kind === "rows") return outcome;
      if (!await this.#pause(progress)) return this.#giveUp(progress, outcome);
    }
  }

  async #settle(
    transaction: TableTransaction,
    progress: Progress,
  ): Promise<TransactionOutcome> {
    const read = await this.#retryRead(
      progress,
      (timeoutMs) =>
        this.#port.read(listSettlementKeys(transaction), { timeoutMs }),
    );
    if (read.kind === "unavailable") return unavailable("lost", read.reason);
    const settlement = settleTransaction(transaction, read.rows);
    const written = new Set(transaction.writes.map((write) => write.key));
    const fenced = transaction.conditions.length > 0;
    if (settlement === "made") {
      return {
        kind: "committed",
        rows: read.rows.filter((row) => written.has(row.key)),
      };
    }
    if (settlement === "not_made" && fenced) {
      return { kind: "conflict", rows: read.rows };
    }
    return unavailable("lost", "later writes cover the trace of this one");
  }

  #begin(options: CallOptions): Progress {
    return {
      deadlineMs: this.#clock.nowMs() + options.timeoutMs,
      attempt: 0,
      lost: false,
    };
  }

  async #attempt<Outcome extends { readonly kind: string }>(
    progress: Progress,
    call: (timeoutMs: number) => Promise<Outcome | Unavailable>,
  ): Promise<Outcome | Unavailable> {
    const startMs = this.#clock.nowMs();
    const timeoutMs = Math.min(
      this.#attemptTimeoutMs,
      progress.deadlineMs - startMs,
    );
    if (timeoutMs <= 0) return unavailable("refused", "deadline");
    const outcome = await call(timeoutMs);
    const nowMs = this.#clock.nowMs();
    if (isUnavailable(outcome)) {
      this.#health = TABLE_HEALTH.DOWN;
      progress.lost ||= outcome.effect === "lost";
      return outcome;
    }
    this.#lastSuccessMs = nowMs;
    this.#health = nowMs - startMs > SLOW_ANSWER_MS
      ? TABLE_HEALTH.SLOW
      : TABLE_HEALTH.UP;
    return outcome;
  }

  /** False when the deadline leaves no room for another attempt. */
  async #pause(progress: Progress): Promise<boolean> {
    const pauseMs = computeBackoffMs(this.#random, progress.attempt, BACKOFF);
    progress.attempt += 1;
    if (this.#clock.nowMs() + pauseMs >= progress.deadlineMs) return false;
    await this.#clock.sleep(pauseMs);
    return true;
  }

  #giveUp(progress: Progress, last: Unavailable): Unavailable {
    return unavailable(progress.lost ? "lost" : "refused", last.reason);
  }
}

function isUnavailable(
  outcome: { readonly kind: string },
): outcome is Unavailable {
  return outcome.kind === "unavailable";
}
