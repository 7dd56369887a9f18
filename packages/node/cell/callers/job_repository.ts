/**
 * Submits, reads and cancels jobs for callers by means of rows in the store, so that any entry can
 * answer for any job. A job is accepted once its row is stored. An unsettled write, whose answer
 * was lost, is settled by sending the same conditional write again.
 */
import type { Clock } from "@coltsfootpond/common";
import {
  type CellJobId,
  type CellJobSpec,
  type FailureReason,
  JOB_STATE,
  type JobOrigin,
  type JobState,
} from "@coltsfootpond/policy";
import {
  type StateRow,
  type StateStore,
  STORE_TABLE,
  type TransactOutcome,
} from "@coltsfootpond/ports";
import { BACKGROUND_ACTIVITY } from "../background/activities.ts";
import { STORE_TIMEOUT_MS } from "../constants.ts";
import {
  encodeRow,
  getOrigin,
  jobKey,
  type JobRow,
  parseBegunKey,
  parseJobKey,
  pickOrigin,
  refusalKey,
} from "../rows.ts";
import { readBegunJobsRow, readJobRow } from "../state_rows/row_readers.ts";
import type { UnreadableRow } from "../state_rows/unreadable_rows.ts";
import type { TableFollower } from "../table_follower.ts";
import {
  createOrigin,
  decideJobAccess,
  type QueueAddress,
  type QueueCall,
} from "./access/job_access.ts";
import { LiveJobsByQueue } from "./live_jobs_by_queue.ts";
import type { StoreReadBudget } from "./store_read_budget.ts";

/** Delay between tries within the caller's time-out. */
const RETRY_DELAY_MS = 60;
/**
 * How long a caller waits for a read of a live job's row, before the copy answers. Many round trips
 * to the store, and short against the objectives of urgent jobs.
 */
const REFRESH_WAIT_MS = 300;
/** Between two reads of a job's row this close together, the copy answers. */
const MINIMUM_REFRESH_INTERVAL_MS = 50;
/** With this many reads of live jobs in progress, the copy answers further callers. */
const MAXIMUM_CONCURRENT_REFRESHES = 8;
/** After this time of failures on all paths the store counts as down. */
const STORE_DOWN_THRESHOLD_MS = 150;
const CANCELLED_BEFORE = "cancelled before it was submitted";

/**
 * `unknown`: the write may still take effect, or the job has a row that cannot be decoded;
 * `refused`: it certainly never does; `rejected`: neither does this one, nor any repetition, as the
 * store can't take the job's row; `barred`: neither does this one, as another try of the job was
 * refused for lack of capacity meanwhile.
 */
export type SubmitOutcome = {
  readonly kind: "accepted" | "unknown" | "refused" | "rejected" | "barred";
};
/**
 * `refused`: no earlier try of the job is stored or will be; `accepted`: one is stored; `unknown`:
 * the store has not settled this, or the job has a row that cannot be decoded; `unavailable`: nothing
 * was written.
 */
export type RefuseOutcome = {
  readonly kind: "refused" | "accepted" | "unknown" | "unavailable";
};
/** There is no such job, or none that this call may read and cancel. */
export interface AbsentOutcome {
  readonly kind: "absent";
  readonly reason: string;
  /** Of the job that the call may not read and cancel. */
  readonly origin?: JobOrigin;
}
/** There is such a job, and whether this call may read and cancel it cannot be told. */
export interface UndecidedOutcome {
  readonly kind: "undecided";
  readonly reason: string;
  readonly origin: JobOrigin;
}
/**
 * `unreadable`: the job's row cannot be decoded, and stays as it is. `unknown`: the write may still
 * take effect; `refused`: it certainly never does.
 */
export type CancelOutcome =
  | { readonly kind: "cancelled" | "ended" | "unknown" | "refused" }
  | AbsentOutcome
  | UndecidedOutcome
  | UnreadableRow;
/** `unknown`: the store gave no answer in time. `unreadable`: the job's row cannot be decoded. */
export type StateOutcome =
  | {
    readonly kind: "state";
    readonly state: JobState;
    /** Why a failed job has ended; undefined in rows of earlier versions. */
    readonly failureReason?: FailureReason;
  }
  | AbsentOutcome
  | UndecidedOutcome
  | { readonly kind: "unknown" }
  | UnreadableRow;

export interface JobRepositoryOptions {
  readonly store: StateStore;
  readonly follower: TableFollower;
  readonly clock: Clock;
  /** How long the store has been down; 0 while it answers. */
  readonly getStoreDownMs: () => number;
  /** Of the reads for state queries; unlimited if left out. */
  readonly readBudget?: Pick<StoreReadBudget, "take">;
  /** Wall-clock time in Unix milliseconds. */
  readonly nowUnixMs: () => number;
}

/** Reads and writes the rows of jobs for callers. */
export class JobRepository {
  readonly #options: JobRepositoryOptions;
  readonly #liveJobs = LiveJobsByQueue.create();
  /** Ids of jobs that have begun, by the key of the row that lists them. */
  readonly #begunByKey = new Map<string, ReadonlySet<CellJobId>>();
  /** When the row of a live job was last read for a caller, on the process's clock. */
  readonly #lastRefreshMs = new Map<CellJobId, number>();
  #refreshesInProgress = 0;

  private constructor(options: JobRepositoryOptions) {
    this.#options = options;
    options.follower.onChanged(
      BACKGROUND_ACTIVITY.APPLY_JOB_ROWS,
      (rows) => this.#applyRows(rows),
    );
  }

  static create(options: JobRepositoryOptions): JobRepository {
    return new JobRepository(options);
  }

  /** Whether this entry knows a row of the job: a submission would not store it again. */
  isKnown(jobId: CellJobId): boolean {
    return this.#options.follower.get(jobKey(jobId)) !== undefined;
  }

  /**
   * Whether the id is that of a job which the call may not read and cancel, by this entry's copy;
   * undefined if not. A call that submits such a job has not submitted its own.
   */
  findDenial(
    jobId: CellJobId,
    call: QueueCall,
  ): AbsentOutcome | UndecidedOutcome | undefined {
    const { follower } = this.#options;
    const job = readJobRow(follower, jobId, follower.get(jobKey(jobId)));
    return job === undefined || job.kind === "unreadable"
      ? undefined
      : findDenial(call, job);
  }

  /**
   * Stores the job. A repeated id is the same job, also after its end. Retries until `deadlineMs`
   * on the process's clock.
   */
  async submit(spec: CellJobSpec, deadlineMs: number): Promise<SubmitOutcome> {
    const key = jobKey(spec.jobId);
    const known = this.#findStored(spec.jobId);
    if (known !== undefined) return known;
    // Sends nothing to a store that is down, so that the refusal is certain.
    if (this.#options.getStoreDownMs() > STORE_DOWN_THRESHOLD_MS) {
      return { kind: "refused" };
    }
    const value = encodeRow({ kind: "live", spec });
    const markerKey = refusalKey(spec.jobId);
    const newestAtStart = this.#options.follower.newestSeenVersion;
    let marker = this.#options.follower.get(markerKey)?.version ?? 0;
    let mayBeWritten = false;
    while (true) {
      const outcome = await this.#transact({
        conditions: [{ key, version: 0 }, { key: markerKey, version: marker }],
        puts: [{ key, value }],
        deletes: [],
      }, deadlineMs);
      switch (outcome.kind) {
        case "committed":
          this.#options.follower.apply([{
            key,
            version: outcome.version,
            value,
          }]);
          return { kind: "accepted" };
        case "conflict": {
          this.#options.follower.apply(outcome.rows);
          const row = outcome.rows.find((other) => other.key === key);
          if (row !== undefined) return this.#describeStored(spec.jobId, row);
          const found = findVersion(outcome.rows, markerKey);
          // A refusal that is not known to be older than this try may have been a later try's.
          if (found > newestAtStart) return { kind: "barred" };
          marker = found;
          continue;
        }
        case "rejected":
          return { kind: mayBeWritten ? "unknown" : "rejected" };
        case "unavailable":
          mayBeWritten ||= outcome.effect === "lost";
      }
      const stored = this.#findStored(spec.jobId);
      if (stored !== undefined) return stored;
      if (!mayBeWritten) return { kind: "refused" };
      if (!await this.#pause(deadlineMs)) return { kind: "unknown" };
    }
  }

  /**
   * Makes certain that no try of the job that was submitted before is stored later, also by another
   * entry, so that the answer that it was refused is true. Retries until `deadlineMs` on the
   * process's clock.
   */
  async refuse(jobId: CellJobId, deadlineMs: number): Promise<RefuseOutcome> {
    const { follower, nowUnixMs } = this.#options;
    const key = jobKey(jobId);
    const markerKey = refusalKey(jobId);
    const row = { kind: "refused", endedUnixMs: nowUnixMs() } as const;
    const value = encodeRow(row);
    let marker = follower.get(markerKey)?.version ?? 0;
    while (true) {
      const stored = this.#findStored(jobId);
      if (stored !== undefined) return stored;
      if (this.#options.getStoreDownMs() > STORE_DOWN_THRESHOLD_MS) {
        return { kind: "unavailable" };
      }
      const outcome = await this.#transact({
        conditions: [{ key, version: 0 }, { key: markerKey, version: marker }],
        puts: [{ key: markerKey, value }],
        deletes: [],
      }, deadlineMs);
      switch (outcome.kind) {
        case "committed":
          follower.apply([{ key: markerKey, version: outcome.version, value }]);
          return { kind: "refused" };
        case "conflict":
          follower.apply(outcome.rows);
          marker = findVersion(outcome.rows, markerKey);
          continue;
        case "rejected":
          return { kind: "unavailable" };
        case "unavailable":
          if (outcome.effect === "refused") return { kind: "unavailable" };
      }
      if (!await this.#pause(deadlineMs)) return { kind: "unknown" };
    }
  }

  /**
   * Marks the job cancelled. An unknown id is stored as barred, so that a later submit does not run
   * it.
   */
  async cancel(
    jobId: CellJobId,
    call: QueueCall,
    deadlineMs: number,
  ): Promise<CancelOutcome> {
    const key = jobKey(jobId);
    if (this.#options.getStoreDownMs() > STORE_DOWN_THRESHOLD_MS) {
      return { kind: "refused" };
    }
    let row = this.#options.follower.get(key);
    while (true) {
      const job = readJobRow(this.#options.follower, jobId, row);
      // Whose job it is cannot be told.
      if (job?.kind === "unreadable") return job;
      if (job?.kind === "barred") return absent(CANCELLED_BEFORE);
      const denial = job && findDenial(call, job);
      if (denial !== undefined) return denial;
      if (job?.kind === "ended") {
        return {
          kind: job.state === JOB_STATE.CANCELLED ? "cancelled" : "ended",
        };
      }
      const endedUnixMs = this.#options.nowUnixMs();
      const value = encodeRow(createCancelled(call, job, endedUnixMs));
      const outcome = await this.#transact({
        conditions: [{ key, version: row?.version ?? 0 }],
        puts: [{ key, value }],
        deletes: [],
      }, deadlineMs);
      if (outcome.kind === "committed") {
        this.#options.follower.apply([{
          key,
          version: outcome.version,
          value,
        }]);
        return job === undefined ? absent("no row") : { kind: "cancelled" };
      }
      if (outcome.kind === "conflict") {
        row = outcome.rows.find((other) => other.key === key);
        this.#options.follower.apply(outcome.rows);
        continue;
      }
      if (outcome.kind === "rejected") return { kind: "refused" };
      if (!await this.#pause(deadlineMs)) return { kind: "unknown" };
      row = this.#options.follower.get(key) ?? row;
    }
  }

  /**
   * The job's state. A job that is missing in this entry's copy is read from the store, and so is
   * one that has not ended there: with many entries, copies follow the store with some delay.
   */
  async getState(
    jobId: CellJobId,
    call: QueueCall,
    deadlineMs: number,
  ): Promise<StateOutcome> {
    const known = this.#options.follower.get(jobKey(jobId));
    const row = known === undefined
      ? await this.#lookUp(jobId, deadlineMs)
      : await this.#refresh(jobId, known, deadlineMs);
    if (row === "unknown") return { kind: "unknown" };
    const job = readJobRow(this.#options.follower, jobId, row);
    if (job === undefined) return absent("no row");
    if (job.kind === "unreadable") return job;
    if (job.kind === "barred") return absent(CANCELLED_BEFORE);
    const denial = findDenial(call, job);
    if (denial !== undefined) return denial;
    switch (job.kind) {
      case "ended":
        return {
          kind: "state",
          state: job.state,
          ...(job.reason === undefined ? {} : { failureReason: job.reason }),
        };
      case "live":
        return {
          kind: "state",
          state: this.#hasBegun(jobId) ? JOB_STATE.RUNNING : JOB_STATE.QUEUED,
        };
    }
  }

  /** Number of accepted jobs of the queue of which no task has begun. */
  countWaiting(queue: QueueAddress): number {
    return this.#liveJobs.list(queue)
      .filter((jobId) => !this.#hasBegun(jobId)).length;
  }

  #hasBegun(jobId: CellJobId): boolean {
    for (const jobIds of this.#begunByKey.values()) {
      if (jobIds.has(jobId)) return true;
    }
    return false;
  }

  /**
   * Reads the row of a live job again. Returns the copy's row when the store has not answered soon;
   * a later answer still reaches the copy.
   */
  async #refresh(
    jobId: CellJobId,
    known: StateRow,
    deadlineMs: number,
  ): Promise<StateRow> {
    const { follower, clock, getStoreDownMs } = this.#options;
    const isLive = readJobRow(follower, jobId, known)?.kind === "live";
    const nowMs = clock.nowMs();
    const lastReadMs = this.#lastRefreshMs.get(jobId) ??
      Number.NEGATIVE_INFINITY;
    if (
      !isLive || getStoreDownMs() > 0 ||
      this.#refreshesInProgress >= MAXIMUM_CONCURRENT_REFRESHES ||
      nowMs - lastReadMs < MINIMUM_REFRESH_INTERVAL_MS ||
      !this.#mayRead()
    ) return known;
    this.#lastRefreshMs.set(jobId, nowMs);
    const waitMs = Math.min(REFRESH_WAIT_MS, deadlineMs - nowMs);
    await Promise.race([this.#readIntoCopy(jobId), clock.sleep(waitMs)]);
    return follower.get(jobKey(jobId)) ?? known;
  }

  async #readIntoCopy(jobId: CellJobId): Promise<void> {
    const { store, follower } = this.#options;
    const key = jobKey(jobId);
    this.#refreshesInProgress++;
    // With a shorter time-out, a slow store would count as unreachable for all other calls.
    const outcome = await store.read(
      STORE_TABLE.STATE,
      { fromKey: key, toKey: `${key}~` },
      STORE_TIMEOUT_MS,
    );
    this.#refreshesInProgress--;
    // The copy keeps the newer of both versions, so a stale answer changes nothing.
    if (outcome.kind === "rows") follower.apply(outcome.rows);
  }

  async #lookUp(
    jobId: CellJobId,
    deadlineMs: number,
  ): Promise<StateRow | "unknown" | undefined> {
    const { store, follower } = this.#options;
    const key = jobKey(jobId);
    do {
      // The copy may have got the row while other reads went first.
      const copied = follower.get(key);
      if (copied !== undefined) return copied;
      if (!this.#mayRead()) continue;
      const outcome = await store.read(
        STORE_TABLE.STATE,
        { fromKey: key, toKey: `${key}~` },
        this.#tryTimeout(deadlineMs),
      );
      if (outcome.kind === "rows" && outcome.version >= follower.version) {
        follower.apply(outcome.rows);
        return outcome.rows.find((row) => row.key === key);
      }
      const isRefused = outcome.kind === "unavailable" &&
        outcome.effect === "refused";
      if (
        isRefused || this.#options.getStoreDownMs() > STORE_DOWN_THRESHOLD_MS
      ) {
        return "unknown";
      }
    } while (await this.#pause(deadlineMs));
    return "unknown";
  }

  #mayRead(): boolean {
    return this.#options.readBudget?.take() ?? true;
  }

  /** What a submission of the job finds; undefined when there is no row. */
  #findStored(
    jobId: CellJobId,
  ): { readonly kind: "accepted" | "unknown" } | undefined {
    const row = this.#options.follower.get(jobKey(jobId));
    return row && this.#describeStored(jobId, row);
  }

  #describeStored(
    jobId: CellJobId,
    row: StateRow,
  ): { readonly kind: "accepted" | "unknown" } {
    const job = readJobRow(this.#options.follower, jobId, row);
    return { kind: job?.kind === "unreadable" ? "unknown" : "accepted" };
  }

  #transact(
    transaction: Parameters<StateStore["transact"]>[0],
    deadlineMs: number,
  ): Promise<TransactOutcome> {
    return this.#options.store.transact(
      transaction,
      this.#tryTimeout(deadlineMs),
    );
  }

  #tryTimeout(deadlineMs: number): number {
    const remainingMs = deadlineMs - this.#options.clock.nowMs();
    return Math.max(1, Math.min(STORE_TIMEOUT_MS, remainingMs));
  }

  /** Waits before the next try; false when no time is left. */
  async #pause(deadlineMs: number): Promise<boolean> {
    const { clock } = this.#options;
    if (clock.nowMs() + RETRY_DELAY_MS >= deadlineMs) return false;
    await clock.sleep(RETRY_DELAY_MS);
    return true;
  }

  #applyRows(rows: readonly StateRow[]): void {
    for (const row of rows) {
      if (parseBegunKey(row.key) !== undefined) this.#applyBegunRow(row);
      const jobId = parseJobKey(row.key);
      if (jobId !== undefined) this.#applyJobRow(jobId, row);
    }
  }

  /** The lease holder writes the next list soon; until then the previous one is the best guess. */
  #applyBegunRow(row: StateRow): void {
    const begun = readBegunJobsRow(this.#options.follower, row);
    if (begun !== undefined) {
      this.#begunByKey.set(row.key, new Set(begun.jobIds));
    } else if (row.value === undefined) {
      this.#begunByKey.delete(row.key);
    }
  }

  #applyJobRow(jobId: CellJobId, row: StateRow): void {
    const job = readJobRow(this.#options.follower, jobId, row);
    if (job?.kind === "live") {
      this.#liveJobs.add(jobId, job.spec);
      return;
    }
    this.#lastRefreshMs.delete(jobId);
    this.#liveJobs.delete(jobId);
  }
}

/** Version of the row among those of a conflict; 0 when it does not exist. */
function findVersion(rows: readonly StateRow[], key: string): number {
  return rows.find((row) => row.key === key)?.version ?? 0;
}

function absent(reason: string): AbsentOutcome {
  return { kind: "absent", reason };
}

/** Undefined if the call may read and cancel the job. */
function findDenial(
  call: QueueCall,
  job: JobRow,
): AbsentOutcome | UndecidedOutcome | undefined {
  const origin = getOrigin(job);
  if (origin === undefined) return undefined;
  const { kind, ground } = decideJobAccess(call, origin);
  switch (kind) {
    case "granted":
      return undefined;
    case "denied":
      return { kind: "absent", reason: ground, origin };
    case "undecided":
      return { kind: "undecided", reason: ground, origin };
  }
}

function createCancelled(
  call: QueueCall,
  job: Extract<JobRow, { kind: "live" }> | undefined,
  endedUnixMs: number,
): JobRow {
  if (job === undefined) {
    return { kind: "barred", endedUnixMs, origin: createOrigin(call) };
  }
  return {
    ...pickOrigin(job.spec),
    kind: "ended",
    state: JOB_STATE.CANCELLED,
    endedUnixMs,
  };
}
