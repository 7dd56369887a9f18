/**
 * Stores the progress of jobs in batches. Every write is conditional on the row versions that this
 * lease holder has read, so that a holder that has lost the lease changes nothing. Run ends are
 * acknowledged to workers only after they are stored. A job whose progress the store can't take
 * keeps no other job from being stored, and is not written unchanged again.
 */
import { Buffer } from "node:buffer";
import { type Clock, createUniqueId, type Timer } from "@coltsfootpond/common";
import type { CellJobId } from "@coltsfootpond/policy";
import type { StateRow, StateStore } from "@coltsfootpond/ports";
import { BACKGROUND_ACTIVITY } from "./background/activities.ts";
import { guardStore } from "./background/guarded_ports.ts";
import { reportFailure } from "./background/report_failure.ts";
import { guard, runInBackground } from "./background/run_in_background.ts";
import { STORE_TIMEOUT_MS } from "./constants.ts";
import type { LiveJob, OtherRuns, Unit, UnitRun } from "./live_job.ts";
import type { CellLog } from "./log.ts";
import {
  encodeRow,
  type EndedState,
  jobKey,
  type JobRow,
  pickOrigin,
  progressKey,
  progressPartKey,
} from "./rows.ts";
import { decodeWriteId, encodeProgress } from "./state_rows/progress_row.ts";
import type { TableFollower } from "./table_follower.ts";

/** Delay of other changes, so that several share a write. */
const BATCH_DELAY_MS = 200;
/** Delay of urgent changes: placements and the ends of jobs. */
const URGENT_DELAY_MS = 4;
/** Delay before a failed write is retried. */
const RETRY_DELAY_MS = 120;
/** Of a transaction (the platform's protocol): conditions, writes and deletions. */
const MAXIMUM_ENTRIES = 100;
/** Entries that store progress; the others delete the rows of ended jobs. */
const MAXIMUM_WRITE_ENTRIES = 70;
const JOBS_PER_TRANSACTION = 30;
/** The protocol allows 1 MB; the rest is for the transaction's other fields. */
const MAXIMUM_TRANSACTION_BYTES = 900_000;
/** Bytes of a row in a transaction besides its value: its key, in the condition and in the write. */
const ROW_OVERHEAD_BYTES = 300;
/** Values are sent in base64. */
const ENCODED_BYTES_PER_BYTE = 4 / 3;
const { WRITE_PROGRESS } = BACKGROUND_ACTIVITY;

export interface ProgressWriterOptions {
  readonly store: StateStore;
  readonly follower: TableFollower;
  readonly clock: Clock;
  readonly nowUnixMs: () => number;
  readonly log: CellLog;
  readonly canAct: () => boolean;
  /** The store's limit of the value of a row. */
  readonly rowLimitBytes: number;
  /** Runs of the job that its units do not show, but that a later holder must know of. */
  readonly findOtherRuns: (job: LiveJob) => OtherRuns;
  /**
   * Called before the rows are encoded, to record which run ends they include. The returned
   * function is called once all rows are stored; the workers may then delete these ends.
   */
  readonly snapshotProcessedEnds: () => () => void;
  /** The job's end is stored, or another process has ended its row. */
  readonly onClosed: (job: LiveJob) => void;
  /** The unit's placement is stored, so its starts may be sent. */
  readonly onPlaced: (unit: Unit) => void;
  /**
   * The store can't take the job's progress, so the placements that it stores for the first time
   * are not stored.
   */
  readonly onRejected: (job: LiveJob) => void;
  /** Another lease holder has written the progress row. */
  readonly onNewerHolder: () => void;
}

/** Writes changed jobs until stopped. */
export class ProgressWriter {
  readonly #options: ProgressWriterOptions;
  readonly #dirty = new Set<LiveJob>();
  /** Ended jobs whose progress rows are still to be deleted. */
  readonly #endedJobs = new Map<CellJobId, readonly string[]>();
  /** Jobs that the store can't take as they are, with the contents that it can't take. */
  readonly #rejected = new Map<LiveJob, Uint8Array>();
  #dueMs: number | undefined;
  #timer: Timer | undefined;
  #isRunning = false;
  #isStopped = false;

  private constructor(options: ProgressWriterOptions) {
    this.#options = options;
  }

  static create(options: ProgressWriterOptions): ProgressWriter {
    const store = guardStore(options.store, options.log);
    return new ProgressWriter({ ...options, store });
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Schedules a write of the job's progress or end; urgent for placements and job ends. */
  mark(job: LiveJob, isUrgent: boolean): void {
    this.#dirty.add(job);
    this.#schedule(isUrgent ? URGENT_DELAY_MS : BATCH_DELAY_MS);
  }

  /** Schedules a flush to acknowledge ends that changed no job. */
  markEnds(): void {
    this.#schedule(BATCH_DELAY_MS);
  }

  /** Drops the job after its end; the next write deletes its progress row. */
  forget(job: LiveJob): void {
    this.#dirty.delete(job);
    this.#rejected.delete(job);
    if (job.progressVersion !== 0) {
      this.#endedJobs.set(job.jobId, listKeys(job, 0, job.progressParts));
    }
  }

  #schedule(delayMs: number): void {
    const dueMs = this.#options.clock.nowMs() + delayMs;
    if (this.#dueMs !== undefined && this.#dueMs <= dueMs) return;
    this.#dueMs = dueMs;
    this.#arm();
  }

  /** Sets one timer for the next flush. A running flush calls this again when it ends. */
  #arm(): void {
    if (this.#isRunning || this.#isStopped || this.#dueMs === undefined) return;
    const { clock, log } = this.#options;
    this.#timer?.cancel();
    this.#timer = clock.after(
      Math.max(0, this.#dueMs - clock.nowMs()),
      guard(log, WRITE_PROGRESS, () => this.#run()),
    );
  }

  async #run(): Promise<void> {
    if (this.#isRunning || this.#isStopped) return;
    this.#isRunning = true;
    this.#dueMs = undefined;
    const isStored = await this.#attempt(() => this.#flush());
    this.#isRunning = false;
    if (!isStored) this.#schedule(RETRY_DELAY_MS);
    this.#arm();
  }

  /** False when the write throws, as when it is not stored. */
  async #attempt(
    write: () => Promise<boolean>,
    job?: LiveJob,
  ): Promise<boolean> {
    try {
      return await write();
    } catch (error) {
      const { log } = this.#options;
      reportFailure(log, WRITE_PROGRESS, error, { job: job?.jobId });
      return false;
    }
  }

  /** An error of one job does not keep the others of its transaction from being processed. */
  #guard({ jobId }: LiveJob, work: () => void): void {
    runInBackground(this.#options.log, WRITE_PROGRESS, work, { job: jobId });
  }

  async #flush(): Promise<boolean> {
    const confirmEnds = this.#options.snapshotProcessedEnds();
    const jobs = [...this.#dirty];
    const ending = jobs.filter((job) => job.ending !== undefined);
    const open = jobs.filter((job) => job.ending === undefined);
    const results = await Promise.all([
      this.#storeProgress(open),
      ...ending.map((job) => this.#attempt(() => this.#storeEnd(job), job)),
    ]);
    if (!results.every((isStored) => isStored)) return false;
    // The ends of a job that can't be stored may be among those of any worker.
    if (this.#rejected.size === 0) confirmEnds();
    return true;
  }

  /** All progress rows are in one group, so that one transaction can store those of many jobs. */
  async #storeProgress(jobs: readonly LiveJob[]): Promise<boolean> {
    let isStored = true;
    let rest = jobs;
    while (rest.length > 0 && !this.#isStopped) {
      if (!this.#options.canAct()) return false;
      const { writes, taken, isComplete } = this.#takeBatch(rest);
      rest = rest.slice(taken);
      isStored = isComplete && isStored;
      if (writes.length === 0) continue;
      const deletions = this.#takeDeletions(writes);
      isStored = await this.#storeBatch(writes, deletions) && isStored;
    }
    return isStored;
  }

  /** Keys of the rows of ended jobs for which the transaction has room, by job. */
  #takeDeletions(writes: readonly ProgressWrite[]): Deletions {
    const deletions = new Map<CellJobId, readonly string[]>();
    let entries = writes.reduce((sum, write) => sum + countEntries(write), 0);
    for (const [jobId, keys] of this.#endedJobs) {
      if (entries + keys.length > MAXIMUM_ENTRIES) continue;
      entries += keys.length;
      deletions.set(jobId, keys);
    }
    return deletions;
  }

  /** Writes of the first jobs, as many as one transaction holds; at least one job is taken. */
  #takeBatch(jobs: readonly LiveJob[]): {
    readonly writes: readonly ProgressWrite[];
    readonly taken: number;
    /** False when the progress of a job could not be encoded. */
    readonly isComplete: boolean;
  } {
    const writes: ProgressWrite[] = [];
    let bytes = 0;
    let entries = 0;
    let taken = 0;
    let failed = 0;
    for (const job of jobs) {
      if (writes.length === JOBS_PER_TRANSACTION) break;
      taken++;
      let write: ProgressWrite | undefined;
      this.#guard(job, () => {
        write = createWrite(job, this.#options);
      });
      if (write === undefined) {
        failed++;
        continue;
      }
      // Before the checks, as a job that is rejected may be marked again.
      this.#dirty.delete(job);
      if (!this.#isRejected(write)) {
        bytes += countBytes(write);
        entries += countEntries(write);
        const isFull = bytes > MAXIMUM_TRANSACTION_BYTES ||
          entries > MAXIMUM_WRITE_ENTRIES;
        if (isFull && writes.length > 0) {
          this.#dirty.add(job);
          taken--;
          break;
        }
        writes.push(write);
      }
    }
    for (const { job, writeId, values } of writes) {
      job.writeIds.add(writeId);
      job.progressParts = Math.max(job.progressParts, values.length - 1);
    }
    return { writes, taken, isComplete: failed === 0 };
  }

  /** Whether the store certainly can't take the write, by its size or as it has rejected it. */
  #isRejected(write: ProgressWrite): boolean {
    const { job } = write;
    const bytes = countBytes(write);
    const isTooLarge = bytes > MAXIMUM_TRANSACTION_BYTES ||
      countEntries(write) > MAXIMUM_WRITE_ENTRIES;
    if (isTooLarge) {
      this.#reject(write, "larger than a transaction");
      return true;
    }
    const rejected = this.#rejected.get(job);
    return rejected !== undefined && isEqualBytes(rejected, write.contents());
  }

  #reject(write: ProgressWrite, reason: string): void {
    const { log, onRejected } = this.#options;
    const { job } = write;
    const contents = write.contents();
    const known = this.#rejected.get(job);
    this.#rejected.set(job, contents);
    if (known !== undefined && isEqualBytes(known, contents)) return;
    if (known === undefined) {
      const bytes = Math.ceil(countBytes(write));
      log.warn("progress.rejected", { job: job.jobId, reason, bytes });
    }
    if (write.pending.length === 0) return;
    this.#guard(job, () => onRejected(job));
    // Without these placements the store may take the rest.
    this.mark(job, false);
  }

  /**
   * Stores the writes in one transaction, and in two with half of them each when the store rejects
   * it, until the one that it can't take is alone.
   */
  async #storeBatch(
    writes: readonly ProgressWrite[],
    deletions: Deletions,
  ): Promise<boolean> {
    const { store, log, canAct } = this.#options;
    const jobs = writes.map(({ job }) => job);
    if (this.#isStopped || !canAct()) {
      jobs.forEach((job) => this.#dirty.add(job));
      return false;
    }
    const outcome = await store.transact({
      conditions: jobs.map((job) => ({
        key: progressKey(job.jobId),
        version: job.progressVersion,
      })),
      puts: writes.flatMap(listPuts),
      deletes: [...writes.flatMap(listObsolete), ...deletions.values()].flat(),
    }, STORE_TIMEOUT_MS);
    if (this.#isStopped) return false;
    switch (outcome.kind) {
      case "committed":
        for (const jobId of deletions.keys()) this.#endedJobs.delete(jobId);
        for (const write of writes) {
          this.#guard(write.job, () => this.#confirm(write, outcome.version));
        }
        return true;
      case "conflict":
        log.warn("progress.conflict", {
          jobs: jobs.map(({ jobId }) => jobId),
          found: outcome.rows.map(({ key, version }) => ({ key, version })),
        });
        for (const job of jobs) {
          this.#dirty.add(job);
          this.#guard(job, () => this.#reconcile(job, outcome.rows));
        }
        return false;
      case "rejected": {
        const [first] = writes;
        if (first === undefined) return true;
        if (writes.length === 1) {
          this.#reject(first, outcome.reason);
          return true;
        }
        const middle = Math.ceil(writes.length / 2);
        const halves = [writes.slice(0, middle), writes.slice(middle)];
        let isStored = true;
        for (const half of halves) {
          isStored = await this.#storeBatch(half, new Map()) && isStored;
        }
        return isStored;
      }
      case "unavailable":
        log.warn("progress.write_failed", { jobs: jobs.length, ...outcome });
        jobs.forEach((job) => this.#dirty.add(job));
        return false;
    }
  }

  #confirm(write: ProgressWrite, version: number): void {
    const { job, pending, values } = write;
    const obsolete = listObsolete(write);
    job.progressVersion = version;
    job.writeIds.clear();
    this.#rejected.delete(job);
    job.progressParts = values.length - 1;
    this.#options.follower.apply([
      ...listPuts(write).map((put) => ({ ...put, version })),
      ...obsolete.map((key) => ({ key, version, value: undefined })),
    ]);
    for (const [unit, run] of pending) {
      // Another run may have replaced it meanwhile; the next write stores that one's placement.
      if (unit.run === run) this.#options.onPlaced(unit);
    }
  }

  /** Stores the job's end, unless a cancellation came first. */
  async #storeEnd(job: LiveJob): Promise<boolean> {
    const { store, follower, log, canAct, onClosed } = this.#options;
    const { ending } = job;
    if (ending === undefined || !canAct()) return false;
    const key = jobKey(job.jobId);
    const value = encodeRow(createEndedRow(job, ending, this.#options));
    const outcome = await store.transact({
      conditions: [{ key, version: job.rowVersion }],
      puts: [{ key, value }],
      deletes: [],
    }, STORE_TIMEOUT_MS);
    if (this.#isStopped) return false;
    switch (outcome.kind) {
      case "committed":
        log.info("job.ended", {
          job: job.jobId,
          state: ending,
          reason: job.failure?.reason,
        });
        follower.apply([{ key, version: outcome.version, value }]);
        onClosed(job);
        return true;
      case "conflict":
        // The job was cancelled, or this very end was stored and its answer was lost.
        follower.apply(outcome.rows);
        // Unless its row can't be decoded: the job is then held, and its progress still needed.
        if (!job.isHeld) onClosed(job);
        return true;
      case "rejected":
      case "unavailable":
        log.warn("progress.end_failed", { job: job.jobId, ...outcome });
        return false;
    }
  }

  /**
   * The stored progress row has another version: either an unsettled write of this holder took
   * effect, or another holder wrote it.
   */
  #reconcile(job: LiveJob, rows: readonly StateRow[]): void {
    const { onNewerHolder, log } = this.#options;
    const row = rows.find(({ key }) => key === progressKey(job.jobId));
    const writeId = row?.value && decodeWriteId(row.value);
    const version = row?.version ?? 0;
    if (version !== job.progressVersion) {
      if (writeId === undefined || !job.writeIds.has(writeId)) {
        log.warn("progress.overtaken", { job: job.jobId, version });
        onNewerHolder();
        return;
      }
      job.progressVersion = version;
    }
  }
}

/** One write of a job's progress. */
interface ProgressWrite {
  readonly job: LiveJob;
  readonly writeId: string;
  /** Runs whose placement is stored by this write for the first time, with their units. */
  readonly pending: readonly (readonly [Unit, UnitRun])[];
  /** Of the first row and of the further ones. */
  readonly values: readonly Uint8Array[];
  /** What it stores, without the id of the write. */
  readonly contents: () => Uint8Array;
}

/** Keys of the rows of ended jobs. */
type Deletions = ReadonlyMap<CellJobId, readonly string[]>;

function createWrite(
  job: LiveJob,
  { findOtherRuns, rowLimitBytes }: ProgressWriterOptions,
): ProgressWrite {
  const writeId = createUniqueId();
  const record = job.progress.toRecord();
  const placements = job.listPlacements(findOtherRuns(job));
  const encode = (id: string) =>
    encodeProgress(
      { writeId: id, record, placements },
      job.spec,
      rowLimitBytes,
    );
  return {
    job,
    writeId,
    pending: job.listPending(),
    values: encode(writeId),
    contents: () => Buffer.concat(encode("")),
  };
}

/** Keys of the rows of the job's progress from one to another; 0 is the first row. */
function listKeys(
  { jobId }: LiveJob,
  first: number,
  last: number,
): readonly string[] {
  return Array.from({ length: Math.max(0, last - first + 1) }, (_, offset) => {
    const part = first + offset;
    return part === 0 ? progressKey(jobId) : progressPartKey(jobId, part);
  });
}

function listPuts({ job, values }: ProgressWrite) {
  const keys = listKeys(job, 0, values.length - 1);
  return values.map((value, part) => ({ key: keys[part]!, value }));
}

/** Keys of the rows that an earlier write may have stored and that this one does not use. */
function listObsolete({ job, values }: ProgressWrite): readonly string[] {
  return listKeys(job, values.length, job.progressParts);
}

/** Its share of the bytes of a transaction. */
function countBytes({ values }: ProgressWrite): number {
  return values.reduce(
    (sum, { byteLength }) =>
      sum + byteLength * ENCODED_BYTES_PER_BYTE + ROW_OVERHEAD_BYTES,
    0,
  );
}

/** Its condition, its rows and the rows that it deletes. */
function countEntries(write: ProgressWrite): number {
  return 1 + write.values.length + listObsolete(write).length;
}

function isEqualBytes(first: Uint8Array, second: Uint8Array): boolean {
  return Buffer.compare(first, second) === 0;
}

function createEndedRow(
  job: LiveJob,
  state: EndedState,
  { nowUnixMs }: ProgressWriterOptions,
): JobRow {
  return {
    ...pickOrigin(job.spec),
    kind: "ended",
    state,
    ...(job.failure === undefined ? {} : { reason: job.failure.reason }),
    endedUnixMs: nowUnixMs(),
  };
}
