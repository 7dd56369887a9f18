/**
 * Stores the progress of jobs in batches. Every write is conditional on the row versions that this
 * lease holder has read, so that a holder that has lost the lease changes nothing. Run ends are
 * acknowledged to workers only after they are stored.
 */
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
  progressKey,
} from "./rows.ts";
import { readProgressRow } from "./state_rows/row_readers.ts";
import type { TableFollower } from "./table_follower.ts";

/** Delay of other changes, so that several share a write. */
const BATCH_DELAY_MS = 200;
/** Delay of urgent changes: placements and the ends of jobs. */
const URGENT_DELAY_MS = 4;
/** Delay before a failed write is retried. */
const RETRY_DELAY_MS = 120;
/** Each job takes up to three of the 100 entries of a transaction (the platform's protocol). */
const JOBS_PER_TRANSACTION = 30;
const { WRITE_PROGRESS } = BACKGROUND_ACTIVITY;

export interface ProgressWriterOptions {
  readonly store: StateStore;
  readonly follower: TableFollower;
  readonly clock: Clock;
  readonly nowUnixMs: () => number;
  readonly log: CellLog;
  readonly canAct: () => boolean;
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
  /** Another lease holder has written the progress row. */
  readonly onNewerHolder: () => void;
}

/** Writes changed jobs until stopped. */
export class ProgressWriter {
  readonly #options: ProgressWriterOptions;
  readonly #dirty = new Set<LiveJob>();
  /** Ended jobs whose progress rows are still to be deleted. */
  readonly #endedJobIds = new Set<CellJobId>();
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
    if (job.progressVersion !== 0) this.#endedJobIds.add(job.jobId);
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
    confirmEnds();
    return true;
  }

  /** All progress rows are in one group, so that one transaction can store those of many jobs. */
  async #storeProgress(jobs: readonly LiveJob[]): Promise<boolean> {
    let isStored = true;
    for (let first = 0; first < jobs.length; first += JOBS_PER_TRANSACTION) {
      const batch = jobs.slice(first, first + JOBS_PER_TRANSACTION);
      const deletes = [...this.#endedJobIds].slice(0, JOBS_PER_TRANSACTION);
      isStored = await this.#storeBatch(batch, deletes) && isStored;
    }
    return isStored;
  }

  async #storeBatch(
    candidates: readonly LiveJob[],
    deletes: readonly CellJobId[],
  ): Promise<boolean> {
    const { store, log, canAct } = this.#options;
    if (this.#isStopped || !canAct()) return false;
    const { findOtherRuns } = this.#options;
    const writes: ProgressWrite[] = [];
    for (const job of candidates) {
      this.#guard(job, () => writes.push(createWrite(job, findOtherRuns(job))));
    }
    const isComplete = writes.length === candidates.length;
    if (!isComplete && writes.length === 0) return false;
    const jobs = writes.map(({ job }) => job);
    jobs.forEach((job) => this.#dirty.delete(job));
    const outcome = await store.transact({
      conditions: jobs.map((job) => ({
        key: progressKey(job.jobId),
        version: job.progressVersion,
      })),
      puts: writes.map(({ job, value }) => ({
        key: progressKey(job.jobId),
        value,
      })),
      deletes: deletes.map(progressKey),
    }, STORE_TIMEOUT_MS);
    if (this.#isStopped) return false;
    switch (outcome.kind) {
      case "committed":
        deletes.forEach((jobId) => this.#endedJobIds.delete(jobId));
        for (const write of writes) {
          this.#guard(write.job, () => this.#confirm(write, outcome.version));
        }
        return isComplete;
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
      case "rejected":
      case "unavailable":
        log.warn("progress.write_failed", { jobs: jobs.length, ...outcome });
        jobs.forEach((job) => this.#dirty.add(job));
        return false;
    }
  }

  #confirm({ job, pending, value }: ProgressWrite, version: number): void {
    job.progressVersion = version;
    job.writeIds.clear();
    this.#options.follower.apply([{
      key: progressKey(job.jobId),
      version,
      value,
    }]);
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
    const { onNewerHolder, log, follower } = this.#options;
    const row = rows.find(({ key }) => key === progressKey(job.jobId));
    // A row that can't be decoded is no write of this holder.
    const reading = readProgressRow(follower, job.spec, row);
    const writeId = reading.kind === "progress"
      ? reading.row.writeId
      : undefined;
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
  /** Runs whose placement is stored by this write for the first time, with their units. */
  readonly pending: readonly (readonly [Unit, UnitRun])[];
  readonly value: Uint8Array;
}

function createWrite(
  job: LiveJob,
  otherRuns: OtherRuns,
): ProgressWrite {
  const writeId = createUniqueId();
  const value = encodeRow({
    writeId,
    record: job.progress.toRecord(),
    placements: job.listPlacements(otherRuns),
  });
  job.writeIds.add(writeId);
  return { job, pending: job.listPending(), value };
}

function createEndedRow(
  job: LiveJob,
  state: EndedState,
  { nowUnixMs }: ProgressWriterOptions,
): JobRow {
  const { queue, organisation } = job.spec;
  return {
    kind: "ended",
    state,
    ...(job.failure === undefined ? {} : { reason: job.failure.reason }),
    queue,
    organisation,
    endedUnixMs: nowUnixMs(),
  };
}
