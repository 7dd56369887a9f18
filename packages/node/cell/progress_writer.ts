/**
 * Stores the progress of jobs in groups. Every write is conditional on the versions that this
 * holder knows, so that a holder that has lost the lease changes nothing. Ends are acknowledged to
 * workers only after they are stored.
 */
import { type Clock, createUniqueId, type Timer } from "@coltsfootpond/common";
import type {
  StateCondition,
  StateRow,
  StateStore,
  StateTransaction,
} from "@coltsfootpond/ports";
import type { LiveJob, Unit } from "./live_job.ts";
import type { CellLog } from "./log.ts";
import {
  decodeRow,
  encodeRow,
  type EndedState,
  jobKey,
  type JobRow,
  progressKey,
  type ProgressRow,
} from "./rows.ts";
import type { TableFollower } from "./table_follower.ts";

/** Ends that finish nothing wait this long for others to share their write. */
const GROUP_PAUSE_MS = 200;
/** Ends that finish a job wait this long. */
const URGENT_PAUSE_MS = 4;
const RETRY_PAUSE_MS = 120;
const STORE_TIMEOUT_MS = 900;
/** Each job takes up to four entries of a transaction, which holds 100 (the users' protocol). */
const JOBS_PER_TRANSACTION = 20;

export interface ProgressWriterOptions {
  readonly store: StateStore;
  readonly follower: TableFollower;
  readonly clock: Clock;
  readonly nowUnixMs: () => number;
  readonly log: CellLog;
  readonly canAct: () => boolean;
  /** Called before the rows are collected; the result is called once all are stored. */
  readonly snapshotEnds: () => () => void;
  /** The job's end is stored, or its row has been ended by another. */
  readonly onClosed: (job: LiveJob) => void;
  /** The unit's placement is stored: its starts may be sent. */
  readonly onPlaced: (unit: Unit) => void;
  /** Another holder has written. */
  readonly onOvertaken: () => void;
}

interface JobWrite {
  readonly job: LiveJob;
  /** The end that the write records; the job may end while its progress is being written. */
  readonly ending: EndedState | undefined;
  /** Units whose placement the write stores for the first time. */
  readonly pending: readonly Unit[];
  readonly value: Uint8Array;
}

/** Writes dirty jobs until stopped. */
export class ProgressWriter {
  readonly #options: ProgressWriterOptions;
  readonly #dirty = new Set<LiveJob>();
  #dueMs: number | undefined;
  #timer: Timer | undefined;
  #isRunning = false;
  #isStopped = false;

  private constructor(options: ProgressWriterOptions) {
    this.#options = options;
  }

  static create(options: ProgressWriterOptions): ProgressWriter {
    return new ProgressWriter(options);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** The job has changed; urgent when a caller waits for what it says. */
  mark(job: LiveJob, isUrgent: boolean): void {
    this.#dirty.add(job);
    this.#schedule(isUrgent ? URGENT_PAUSE_MS : GROUP_PAUSE_MS);
  }

  /** Ends that changed nothing still have to be acknowledged. */
  markEnds(): void {
    this.#schedule(GROUP_PAUSE_MS);
  }

  forget(job: LiveJob): void {
    this.#dirty.delete(job);
  }

  #schedule(pauseMs: number): void {
    const dueMs = this.#options.clock.nowMs() + pauseMs;
    if (this.#dueMs !== undefined && this.#dueMs <= dueMs) return;
    this.#dueMs = dueMs;
    this.#arm();
  }

  /** One timer for the next flush; while one runs, its end arms the next. */
  #arm(): void {
    if (this.#isRunning || this.#isStopped || this.#dueMs === undefined) return;
    const { clock } = this.#options;
    this.#timer?.cancel();
    this.#timer = clock.after(
      Math.max(0, this.#dueMs - clock.nowMs()),
      () => void this.#run(),
    );
  }

  async #run(): Promise<void> {
    if (this.#isRunning || this.#isStopped) return;
    this.#isRunning = true;
    this.#dueMs = undefined;
    const isStored = await this.#flush();
    this.#isRunning = false;
    if (!isStored) this.#schedule(RETRY_PAUSE_MS);
    this.#arm();
  }

  async #flush(): Promise<boolean> {
    const confirmEnds = this.#options.snapshotEnds();
    const jobs = [...this.#dirty];
    for (let first = 0; first < jobs.length; first += JOBS_PER_TRANSACTION) {
      if (!this.#options.canAct()) return false;
      const group = jobs.slice(first, first + JOBS_PER_TRANSACTION);
      if (!await this.#store(group.filter((job) => this.#dirty.has(job)))) {
        return false;
      }
    }
    confirmEnds();
    return true;
  }

  async #store(jobs: readonly LiveJob[]): Promise<boolean> {
    if (jobs.length === 0) return true;
    const { store, log } = this.#options;
    const writes = jobs.map((job) => this.#createWrite(job));
    writes.forEach(({ job }) => this.#dirty.delete(job));
    const outcome = await store.transact(
      createTransaction(writes),
      STORE_TIMEOUT_MS,
    );
    if (this.#isStopped) return false;
    switch (outcome.kind) {
      case "committed":
        writes.forEach((write) => this.#confirm(write, outcome.version));
        return true;
      case "conflict":
        log.warn("progress.conflict", {
          expected: writes.map(({ job }) => ({
            job: job.jobId,
            rowVersion: job.rowVersion,
            progressVersion: job.progressVersion,
          })),
          found: outcome.rows.map(({ key, version }) => ({ key, version })),
        });
        writes.forEach((write) => this.#reconcile(write, outcome.rows));
        return false;
      case "unavailable":
        log.warn("progress.write_failed", { jobs: jobs.length, ...outcome });
        writes.forEach(({ job }) => this.#dirty.add(job));
        return false;
    }
  }

  #createWrite(job: LiveJob): JobWrite {
    const writeId = createUniqueId();
    job.writeIds.add(writeId);
    if (job.ending === undefined) {
      const record = job.progress.toRecord();
      const placements = job.listPlacements();
      return {
        job,
        ending: undefined,
        pending: job.listPending(),
        value: encodeRow({ writeId, record, placements }),
      };
    }
    const { queue, organisation } = job.spec;
    const row: JobRow = {
      kind: "ended",
      state: job.ending,
      queue,
      organisation,
      endedUnixMs: this.#options.nowUnixMs(),
    };
    return { job, ending: job.ending, pending: [], value: encodeRow(row) };
  }

  #confirm({ job, ending, pending, value }: JobWrite, version: number): void {
    const { follower, onClosed, log } = this.#options;
    const progress = progressKey(job.jobId);
    if (ending === undefined) {
      job.progressVersion = version;
      job.writeIds.clear();
      follower.apply([{ key: progress, version, value }]);
      pending.forEach((unit) => this.#options.onPlaced(unit));
      return;
    }
    log.info("job.ended", { job: job.jobId, state: ending });
    this.#dirty.delete(job);
    follower.apply([
      { key: jobKey(job.jobId), version, value },
      ...(job.progressVersion === 0
        ? []
        : [{ key: progress, version, value: undefined }]),
    ]);
    onClosed(job);
  }

  /** A condition of the group did not hold; finds out for each job what stands now. */
  #reconcile({ job }: JobWrite, rows: readonly StateRow[]): void {
    const { follower, onClosed, onOvertaken, log } = this.#options;
    const own = rows.find(({ key }) => key === jobKey(job.jobId));
    const row = own?.value && decodeRow<JobRow>(own.value);
    if (row?.kind !== "live") {
      // Cancelled meanwhile, or our own end whose answer was lost.
      if (own !== undefined) follower.apply([own]);
      onClosed(job);
      return;
    }
    const progress = rows.find(({ key }) => key === progressKey(job.jobId));
    const stored = progress?.value && decodeRow<ProgressRow>(progress.value);
    const version = progress?.version ?? 0;
    if (version !== job.progressVersion) {
      if (!isOwn(job, stored)) {
        log.warn("progress.overtaken", { job: job.jobId, version });
        onOvertaken();
        return;
      }
      job.progressVersion = version;
    }
    this.#dirty.add(job);
  }
}

/** Whether the stored progress is an earlier write of this holder, carried out late. */
function isOwn(job: LiveJob, stored: ProgressRow | undefined): boolean {
  return stored !== undefined && job.writeIds.has(stored.writeId);
}

function createTransaction(writes: readonly JobWrite[]): StateTransaction {
  const conditions: StateCondition[] = [];
  const puts: { readonly key: string; readonly value: Uint8Array }[] = [];
  const deletes: string[] = [];
  for (const { job, ending, value } of writes) {
    const progress = progressKey(job.jobId);
    conditions.push(
      { key: jobKey(job.jobId), version: job.rowVersion },
      { key: progress, version: job.progressVersion },
    );
    if (ending === undefined) {
      puts.push({ key: progress, value });
    } else {
      puts.push({ key: jobKey(job.jobId), value });
      if (job.progressVersion !== 0) deletes.push(progress);
    }
  }
  return { conditions, puts, deletes };
}
