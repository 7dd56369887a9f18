/**
 * The workers of the cell, read from their own records. The platform removes the record of a worker
 * that has left, and of a silent one after some missed heartbeats. A worker may start again under its
 * name, and a removal may be due to an earlier incarnation, so a removal only suggests that a worker
 * has left: the incarnation must have announced its stop, and its record must be older than the time
 * after which that of an earlier one expires.
 */
import type { Clock, WorkerName } from "@coltsfootpond/common";
import {
  type RecordDecoder,
  type StateStore,
  STORE_TABLE,
  type WorkerRecord,
} from "@coltsfootpond/ports";
import { STORE_TIMEOUT_MS } from "./constants.ts";
import type { CellLog } from "./log.ts";
import type { RecordProblem } from "./worker_records/unusable_records.ts";

/** Well below the time within which a draining worker must get no new tasks. */
export const DIRECTORY_PERIOD_MS = 700;
/** Missed heartbeats after which the platform removes a record. */
const MISSED_HEARTBEATS_TO_REMOVAL = 3;

export interface WorkerDirectoryOptions {
  readonly store: StateStore;
  readonly recordDecoder: RecordDecoder;
  readonly clock: Clock;
  readonly nowUnixMs: () => number;
  readonly log: CellLog;
  readonly heartbeatMs: number;
}

/** One moment on the monotonic clock and on the wall clock. */
interface Moment {
  readonly monotonicMs: number;
  readonly unixMs: number;
}

interface KnownRecord {
  readonly record: WorkerRecord;
  /**
   * The read before the heartbeat was first seen: the heartbeat is not older than that. Undefined
   * when there was none.
   */
  readonly heartbeatNotBefore: Moment | undefined;
  /** When a record of the incarnation was first received. */
  readonly firstRead: Moment;
}

/** One read of all records. */
export interface DirectorySnapshot {
  readonly records: ReadonlyMap<WorkerName, WorkerRecord>;
  /** Why the other rows name no worker, by key. */
  readonly problems: ReadonlyMap<string, RecordProblem>;
  /** Draining workers whose records were removed early. */
  readonly leftWorkers: readonly LeftWorker[];
}

/**
 * A draining worker whose record was removed before its silence can be the cause. It has left if it
 * does not answer either.
 */
export interface LeftWorker {
  readonly worker: WorkerName;
  readonly incarnationStartUnixMs: number;
  readonly heartbeat: number;
  /** Upper bound of the age of the heartbeat at the removal. */
  readonly heartbeatAgeMs: number;
  /** The same age on each of the two clocks, for the log. */
  readonly monotonicAgeMs: number;
  readonly wallAgeMs: number;
  /** A heartbeat of this age may be the cause of the removal. */
  readonly recordLifetimeMs: number;
  /** Lower bound of the age of the incarnation's record when it was last read. */
  readonly recordAgeMs: number;
}

/** Reads the workers' records. */
export class WorkerDirectory {
  readonly #options: WorkerDirectoryOptions;
  #knownRecords = new Map<WorkerName, KnownRecord>();
  #lastRead: Moment | undefined;
  #version = 0;

  private constructor(options: WorkerDirectoryOptions) {
    this.#options = options;
  }

  static create(options: WorkerDirectoryOptions): WorkerDirectory {
    return new WorkerDirectory(options);
  }

  /** Reads all records; undefined when the store gave no fresh answer. */
  async read(): Promise<DirectorySnapshot | undefined> {
    const { store, log } = this.#options;
    const started = this.#now();
    const outcome = await store.read(
      STORE_TABLE.WORKERS,
      {},
      STORE_TIMEOUT_MS,
    );
    if (outcome.kind === "unavailable") {
      log.warn("workers.read_failed", { ...outcome });
      this.#lastRead = undefined;
      return undefined;
    }
    if (outcome.version < this.#version) {
      log.warn("workers.stale_answer", { version: outcome.version });
      return undefined;
    }
    this.#version = outcome.version;
    const records = new Map<WorkerName, WorkerRecord>();
    const problems = new Map<string, RecordProblem>();
    for (const { key, value } of outcome.rows) {
      if (value === undefined) continue;
      const decoded = this.#options.recordDecoder.decodeWorker(key, value);
      if (decoded.kind === "unusable") {
        const { field, expected } = decoded;
        problems.set(key, { field, expected });
      } else records.set(decoded.record.worker, decoded.record);
    }
    const leftWorkers = this.#findLeft(
      new Set(outcome.rows.flatMap(({ key, value }) => value ? [key] : [])),
    );
    this.#logRemoved(records);
    this.#updateKnown(records);
    this.#lastRead = started;
    return { records, problems, leftWorkers };
  }

  /** A row that cannot be decoded is no removal. */
  #findLeft(presentKeys: ReadonlySet<string>): readonly LeftWorker[] {
    // After a failed read the removal may be of any age, so the worker may have been silent.
    if (this.#lastRead === undefined) return [];
    const lastRead = this.#lastRead;
    const recordLifetimeMs = MISSED_HEARTBEATS_TO_REMOVAL *
      this.#options.heartbeatMs;
    const draining = [...this.#knownRecords.values()].filter(({ record }) =>
      record.isDraining
    );
    return draining.map(({ record, heartbeatNotBefore, firstRead }) => ({
      worker: record.worker,
      incarnationStartUnixMs: record.incarnationStartUnixMs,
      heartbeat: record.heartbeat,
      ...this.#computeAges(heartbeatNotBefore),
      recordLifetimeMs,
      // The clock that shows less: the wall clock may be set forward.
      recordAgeMs: Math.min(
        lastRead.monotonicMs - firstRead.monotonicMs,
        lastRead.unixMs - firstRead.unixMs,
      ),
    }))
      .filter(({ worker, heartbeatAgeMs, recordAgeMs }) =>
        !presentKeys.has(worker) && heartbeatAgeMs < recordLifetimeMs &&
        recordAgeMs > recordLifetimeMs
      );
  }

  #logRemoved(records: ReadonlyMap<WorkerName, WorkerRecord>): void {
    for (const [worker, { record }] of this.#knownRecords) {
      if (records.has(worker)) continue;
      const { address } = record;
      this.#options.log.info("worker.record_removed", { worker, address });
    }
  }

  #updateKnown(records: ReadonlyMap<WorkerName, WorkerRecord>): void {
    const next = new Map<WorkerName, KnownRecord>();
    for (const record of records.values()) {
      const known = this.#knownRecords.get(record.worker);
      const isSameIncarnation =
        known?.record.incarnationStartUnixMs === record.incarnationStartUnixMs;
      const isSameHeartbeat = isSameIncarnation &&
        known?.record.heartbeat === record.heartbeat;
      next.set(record.worker, {
        record,
        heartbeatNotBefore: isSameHeartbeat
          ? known?.heartbeatNotBefore
          : known === undefined
          ? undefined
          : this.#lastRead,
        firstRead: isSameIncarnation && known !== undefined
          ? known.firstRead
          : this.#now(),
      });
    }
    this.#knownRecords = next;
  }

  #now(): Moment {
    const { clock, nowUnixMs } = this.#options;
    return { monotonicMs: clock.nowMs(), unixMs: nowUnixMs() };
  }

  /**
   * Age by the clock that shows more: the monotonic clock stops while the VM is suspended, and the
   * wall clock may be set back.
   */
  #computeAges(moment: Moment | undefined) {
    const now = this.#now();
    const monotonicAgeMs = now.monotonicMs -
      (moment?.monotonicMs ?? Number.NEGATIVE_INFINITY);
    const wallAgeMs = now.unixMs -
      (moment?.unixMs ?? Number.NEGATIVE_INFINITY);
    const heartbeatAgeMs = Math.max(monotonicAgeMs, wallAgeMs);
    return { heartbeatAgeMs, monotonicAgeMs, wallAgeMs };
  }
}
