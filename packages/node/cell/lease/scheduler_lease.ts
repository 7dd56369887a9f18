/**
 * The lease that decides which entry schedules the cell. It is one row of the store that its holder
 * renews by compare-and-set; other entries may acquire it when they have seen no renewal for
 * SCHEDULER_LEASE_MS. Each acquisition increases the epoch, which workers check as a fencing token.
 * The holder acts only while no other entry can have acquired the lease. It measures this time from
 * when it sent its last successful renewal, not from the response.
 */
import type { Clock, Random } from "@coltsfootpond/common";
import type { StateRow, StateStore } from "@coltsfootpond/ports";
import { Subject } from "rxjs";
import { STORE_TIMEOUT_MS } from "../constants.ts";
import { computeHandoverBackoffMs } from "./entry_count_delays.ts";
import {
  computeLeastTenureMs,
  countShortTenures,
  mayTakeBack,
  readCount,
  type SchedulerFailure,
  SOUND_TENURE_MS,
} from "./early_ends.ts";
import { RENEW_PERIOD_MS, SCHEDULER_LEASE_MS } from "./lease_times.ts";
import {
  computeAcquireDelayMs,
  isHandoverDue,
  type ProcessorShares,
} from "./lease_priority.ts";
import { BACKGROUND_ACTIVITY } from "../background/activities.ts";
import { guard, runInBackground } from "../background/run_in_background.ts";
import type { CellLog } from "../log.ts";
import { encodeRow, LEASE_KEY, type LeaseRow } from "../rows.ts";
import { readLeaseRow } from "../state_rows/row_readers.ts";
import type { TableFollower } from "../table_follower.ts";

/**
 * The holder stops acting this long before others may acquire the lease, to allow for delays of
 * timers and commands.
 */
const ACTING_MARGIN_MS = 250;
/** Period of the checks of the lease; short against its duration. */
const TICK_PERIOD_MS = 50;
/** Keeps entries with equal processor shares from acquiring the lease at the same moment. */
const ACQUIRE_JITTER_MS = 20;

export interface AcquiredLease {
  readonly kind: "acquired";
  readonly epoch: number;
  /** Version of the store at which the lease was acquired. */
  readonly version: number;
}

/** Emitted when this entry acquires or loses the lease. */
export type LeaseChange = AcquiredLease | { readonly kind: "lost" };

export interface SchedulerLeaseOptions {
  readonly entry: string;
  readonly incarnation: string;
  readonly processorShare: number;
  readonly getProcessorShares: () => ProcessorShares;
  readonly store: StateStore;
  readonly follower: TableFollower;
  readonly clock: Clock;
  readonly nowUnixMs: () => number;
  readonly random: Random;
  readonly log: CellLog;
}

/** The fields of the row that change with each write. */
type LeaseRenewal = Omit<LeaseRow, "holder" | "incarnation" | "isReleased">;

type EarlierTenures = Required<
  Pick<LeaseRow, "handedOverUnixMs" | "shortTenures" | "failures">
>;

interface HeldLease extends LeaseRenewal {
  version: number;
  beat: number;
  /** When the last successful renewal was sent, on both clocks. */
  renewedMs: number;
  renewedUnixMs: number;
  readonly acquiredMs: number;
  handedOverUnixMs: number;
  failures: number;
}

/** Acquires, renews, observes and releases the lease. */
export class SchedulerLease {
  readonly changes = new Subject<LeaseChange>();
  readonly #options: SchedulerLeaseOptions;
  #observed: { readonly version: number; readonly sinceMs: number } | undefined;
  #held: HeldLease | undefined;
  /** Highest epoch in any row that this entry has read. */
  #newestEpoch = 0;
  #isWriting = false;
  #isLeaving = false;
  #acquireAtMs: number | undefined;
  #backoffUntilMs = Number.NEGATIVE_INFINITY;
  /** When the lease is given up, as the scheduler has failed. */
  #giveUpAtMs = Number.POSITIVE_INFINITY;

  private constructor(options: SchedulerLeaseOptions) {
    this.#options = options;
    options.follower.onChanged(
      BACKGROUND_ACTIVITY.APPLY_LEASE_ROW,
      (rows) => this.#observe(rows),
    );
  }

  static create(options: SchedulerLeaseOptions): SchedulerLease {
    return new SchedulerLease(options);
  }

  /** Starts competing for the lease. */
  start(): void {
    const { clock, log } = this.#options;
    const tick = guard(log, BACKGROUND_ACTIVITY.LEASE, () => this.#tick());
    clock.every(TICK_PERIOD_MS, tick);
  }

  /** Epoch of the lease that this entry holds; undefined when it holds none. */
  get epoch(): number | undefined {
    return this.#held?.epoch;
  }

  /** Whether this entry may send commands now: no other entry can have acquired the lease yet. */
  canAct(): boolean {
    const held = this.#held;
    if (held === undefined) return false;
    const { clock, nowUnixMs } = this.#options;
    const limitMs = SCHEDULER_LEASE_MS - ACTING_MARGIN_MS;
    // The wall clock counts the time for which the VM was suspended; the monotonic clock does not.
    return clock.nowMs() - held.renewedMs < limitMs &&
      nowUnixMs() - held.renewedUnixMs < limitMs;
  }

  /** Releases the lease, so that another entry can acquire it at once. */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    await this.#release("leaving");
  }

  async #release(reason: string): Promise<void> {
    const held = this.#held;
    if (held === undefined) return;
    this.#lose(reason);
    const outcome = await this.#options.store.transact({
      conditions: [{ key: LEASE_KEY, version: held.version }],
      puts: [{
        key: LEASE_KEY,
        value: this.#encode({ ...held, beat: held.beat + 1 }, true),
      }],
      deletes: [],
    }, STORE_TIMEOUT_MS);
    this.#options.log.info("lease.released", {
      epoch: held.epoch,
      reason,
      outcome: outcome.kind,
    });
  }

  /**
   * Stops acting because of evidence of another holder. This entry then competes for the lease
   * again; the compare-and-set fails if another entry has acquired it.
   */
  stepDown(reason: string): void {
    if (this.#held !== undefined) this.#lose(reason);
  }

  /**
   * The scheduler of this epoch has failed. The lease is given up, so that a new one starts from
   * the store, here or at another entry; at once unless others have failed shortly before.
   */
  giveUp(epoch: number, failure: SchedulerFailure): void {
    const held = this.#held;
    if (held?.epoch !== epoch) return;
    const dueMs = held.acquiredMs +
      computeLeastTenureMs(failure, held.failures);
    this.#giveUpAtMs = Math.min(this.#giveUpAtMs, dueMs);
  }

  #tick(): void {
    if (this.#isWriting || this.#isLeaving) return;
    if (!this.#options.follower.isLoaded) return;
    const nowMs = this.#options.clock.nowMs();
    if (this.#held !== undefined) {
      if (nowMs >= this.#giveUpAtMs) {
        this.#runExclusively(() => this.#releaseAfterFailure());
      } else if (this.#mayHandOver(this.#held, nowMs)) {
        this.#runExclusively(() =>
          this.#handOver("a larger entry may hold it")
        );
      } else if (nowMs - this.#held.renewedMs >= RENEW_PERIOD_MS) {
        this.#runExclusively(() => this.#renew());
      }
      return;
    }
    if (!this.#mayAcquire(nowMs)) {
      this.#acquireAtMs = undefined;
      return;
    }
    this.#acquireAtMs ??= nowMs + this.#computeDelayMs();
    if (nowMs >= this.#acquireAtMs) {
      this.#acquireAtMs = undefined;
      this.#runExclusively(() => this.#acquire());
    }
  }

  #runExclusively(step: () => Promise<void>): void {
    this.#isWriting = true;
    runInBackground(this.#options.log, BACKGROUND_ACTIVITY.LEASE, async () => {
      try {
        await step();
      } finally {
        this.#isWriting = false;
      }
    });
  }

  /**
   * Entries with larger processor shares acquire first, as the lease holder needs the most
   * processor time.
   */
  #computeDelayMs(): number {
    const { random, processorShare, getProcessorShares } = this.#options;
    return random.next() * ACQUIRE_JITTER_MS +
      computeAcquireDelayMs(processorShare, getProcessorShares());
  }

  #mayHandOver(held: HeldLease, nowMs: number): boolean {
    const { processorShare, getProcessorShares, nowUnixMs } = this.#options;
    return this.canAct() && isHandoverDue({
      ownShare: processorShare,
      largestShare: getProcessorShares().largest,
      heldForMs: nowMs - held.acquiredMs,
      sinceHandoverMs: Math.abs(nowUnixMs() - held.handedOverUnixMs),
    });
  }

  async #releaseAfterFailure(): Promise<void> {
    if (this.#held === undefined) return;
    this.#held.failures++;
    await this.#handOver("its scheduler has failed");
  }

  async #handOver(reason: string): Promise<void> {
    if (this.#held === undefined) return;
    const { clock, nowUnixMs, getProcessorShares } = this.#options;
    this.#held.handedOverUnixMs = nowUnixMs();
    this.#backoffUntilMs = clock.nowMs() +
      computeHandoverBackoffMs(getProcessorShares().count);
    await this.#release(reason);
  }

  #mayAcquire(nowMs: number): boolean {
    if (nowMs < this.#backoffUntilMs) return false;
    const { follower, entry, incarnation } = this.#options;
    const row = follower.get(LEASE_KEY);
    // The holder may not have seen yet that the row was deleted.
    if (row === undefined) return this.#hasExpired(nowMs);
    const lease = readLeaseRow(follower, row);
    if (lease?.isReleased) return true;
    // This process has lost it, or an earlier process of this entry, which is gone, held it.
    const isOwn = lease?.incarnation === incarnation ||
      lease?.holder === entry && mayTakeBack(lease);
    if (isOwn) return true;
    return this.#observed?.version === row.version && this.#hasExpired(nowMs);
  }

  /** Whether the last change of the row, its deletion included, is as long ago as a lease lasts. */
  #hasExpired(nowMs: number): boolean {
    const sinceMs = this.#observed?.sinceMs ?? Number.NEGATIVE_INFINITY;
    return nowMs - sinceMs >= SCHEDULER_LEASE_MS;
  }

  async #acquire(): Promise<void> {
    const { store, follower, clock, nowUnixMs, log } = this.#options;
    const row = follower.get(LEASE_KEY);
    const previous = readLeaseRow(follower, row);
    const epoch = this.#findHighestEpoch(row, previous) + 1;
    const beat = (previous?.beat ?? 0) + 1;
    const sent = { renewedMs: clock.nowMs(), renewedUnixMs: nowUnixMs() };
    const next = { epoch, beat, acquiredBeat: beat, ...this.#judge(previous) };
    const value = this.#encode(next, false);
    const outcome = await store.transact({
      conditions: [{ key: LEASE_KEY, version: row?.version ?? 0 }],
      puts: [{ key: LEASE_KEY, value }],
      deletes: [],
    }, STORE_TIMEOUT_MS);
    if (outcome.kind === "conflict") follower.apply(outcome.rows);
    if (outcome.kind !== "committed") {
      log.info("lease.not_taken", { epoch, outcome: outcome.kind });
      return;
    }
    const { version } = outcome;
    this.#held = { ...next, version, ...sent, acquiredMs: sent.renewedMs };
    follower.apply([{ key: LEASE_KEY, version, value }]);
    log.info("lease.acquired", {
      epoch,
      previous: previous?.holder,
      shortTenures: next.shortTenures,
      failures: next.failures,
      wasReleased: previous?.isReleased,
    });
    this.changes.next({ kind: "acquired", epoch, version });
  }

  /** What the next row says about earlier tenures. */
  #judge(previous: LeaseRow | undefined): EarlierTenures {
    const { entry, incarnation, nowUnixMs } = this.#options;
    const { handedOverUnixMs = 0 } = previous ?? {};
    const failures = readCount(previous?.failures);
    const kept = { handedOverUnixMs, failures, shortTenures: 0 };
    if (previous === undefined || previous.isReleased) return kept;
    if (previous.incarnation === incarnation) {
      return { ...kept, shortTenures: readCount(previous.shortTenures) };
    }
    if (previous.holder === entry) {
      return { ...kept, shortTenures: countShortTenures(previous) };
    }
    // Keeps the lease from a larger entry whose process ends again and again.
    return mayTakeBack(previous)
      ? kept
      : { ...kept, handedOverUnixMs: nowUnixMs() };
  }

  /**
   * An epoch that no earlier one exceeds. Each acquisition is a write, so the epochs of this system
   * have never exceeded the versions of the row; nor does the next one, as its write raises them. A
   * row that is gone was deleted before the newest version that this entry has seen.
   */
  #findHighestEpoch(
    row: StateRow | undefined,
    lease: LeaseRow | undefined,
  ): number {
    const { newestSeenVersion } = this.#options.follower;
    const epoch = lease?.epoch ?? row?.version ?? newestSeenVersion;
    return Math.max(epoch, this.#newestEpoch);
  }

  async #renew(): Promise<void> {
    const held = this.#held;
    if (held === undefined) return;
    const { store, follower, clock, nowUnixMs, log } = this.#options;
    const sent = { renewedMs: clock.nowMs(), renewedUnixMs: nowUnixMs() };
    const isSound = sent.renewedMs - held.acquiredMs >= SOUND_TENURE_MS;
    const failures = isSound ? 0 : held.failures;
    const next = { ...held, beat: held.beat + 1, failures };
    const value = this.#encode(next, false);
    const outcome = await store.transact({
      conditions: [{ key: LEASE_KEY, version: held.version }],
      puts: [{ key: LEASE_KEY, value }],
      deletes: [],
    }, STORE_TIMEOUT_MS);
    if (this.#held !== held) return;
    switch (outcome.kind) {
      case "committed":
        Object.assign(held, sent, {
          version: outcome.version,
          beat: next.beat,
          failures,
        });
        follower.apply([{ key: LEASE_KEY, version: outcome.version, value }]);
        return;
      case "conflict":
        follower.apply(outcome.rows);
        return;
      case "rejected":
      case "unavailable":
        log.warn("lease.renewal_failed", { epoch: held.epoch, ...outcome });
    }
  }

  #observe(rows: readonly StateRow[]): void {
    const row = rows.find(({ key }) => key === LEASE_KEY);
    if (row === undefined) return;
    const nowMs = this.#options.clock.nowMs();
    this.#observed = { version: row.version, sinceMs: nowMs };
    const lease = readLeaseRow(this.#options.follower, row);
    this.#newestEpoch = Math.max(this.#newestEpoch, lease?.epoch ?? 0);
    const held = this.#held;
    if (held === undefined) return;
    if (row.value === undefined) {
      this.#lose("its row is deleted");
    } else if (lease === undefined) {
      this.#lose("its row is unreadable");
    } else if (lease.incarnation !== this.#options.incarnation) {
      this.#lose(`taken by ${lease.holder}`);
    } else if (row.version > held.version) {
      // A renewal whose response was lost has taken effect.
      held.version = row.version;
      held.beat = lease.beat;
    }
  }

  #lose(reason: string): void {
    const epoch = this.#held?.epoch;
    this.#held = undefined;
    this.#giveUpAtMs = Number.POSITIVE_INFINITY;
    this.#options.log.warn("lease.lost", { epoch, reason });
    this.changes.next({ kind: "lost" });
  }

  #encode(
    renewal: LeaseRenewal,
    isReleased: boolean,
  ): Uint8Array {
    const { entry: holder, incarnation } = this.#options;
    const { epoch, beat, handedOverUnixMs } = renewal;
    const { acquiredBeat, shortTenures, failures } = renewal;
    return encodeRow({
      holder,
      incarnation,
      isReleased,
      epoch,
      beat,
      handedOverUnixMs,
      acquiredBeat,
      shortTenures,
      failures,
    });
  }
}
