/**
 * The workers of the cell as the lease holder uses them: their records, a session with each, and
 * the stored roster, the list of workers on which tasks may run. A later lease holder reads the
 * roster to know whose reports to collect.
 */
import type {
  Clock,
  FailureDomainName,
  ServiceName,
  ValueOf,
  WorkerName,
} from "@coltsfootpond/common";
import { coversNeed, type WorkerView } from "@coltsfootpond/policy";
import type {
  CellBounds,
  RecordDecoder,
  StateStore,
  WorkerPort,
  WorkerRecord,
  WorkerTarget,
} from "@coltsfootpond/ports";
import { BACKGROUND_ACTIVITY } from "./background/activities.ts";
import { guard, runInBackground } from "./background/run_in_background.ts";
import type { CellLog, LogFields } from "./log.ts";
import { FirstContacts } from "./first_contacts/first_contacts.ts";
import { putRow } from "./state_rows/put_row.ts";
import {
  encodeRoster,
  type RosterContents,
  RosterRows,
} from "./roster/roster_rows.ts";
import type { TableFollower } from "./table_follower.ts";
import { type DirectorySnapshot, WorkerDirectory } from "./worker_directory.ts";
import {
  type RecordProblem,
  UnusableRecords,
} from "./worker_records/unusable_records.ts";
import type { SessionListener } from "./task_run.ts";
import { computeAvailability, NO_RESOURCES } from "./worker_availability.ts";
import { computeLongestLeaseMs } from "./worker_leases.ts";
import { WorkerSession } from "./worker_session.ts";

/** What named the worker with which a session is opened. */
const SESSION_SOURCE = { RECORD: "record", ROSTER: "roster" } as const;
type SessionSource = ValueOf<typeof SESSION_SOURCE>;

/** How long a new lease holder waits for the workers' first reports before it starts tasks. */
const FIRST_REPORT_TIMEOUT_MS = 700;
const REPORT_CHECK_PERIOD_MS = 4;
/** Longest delay between polls of a worker that has not answered yet, while these are few. */
const FIRST_CONTACT_DELAY_MS = 1_000;
/** Least time for each poll of such a worker when there are many. */
const MS_PER_FIRST_CONTACT = 10;
/** Collects the first reports of several workers for one write of the roster. */
const ROSTER_DELAY_MS = 4;
const { WRITE_ROSTER } = BACKGROUND_ACTIVITY;
const UNDECLARED_SERVICE: RecordProblem = {
  field: "service",
  expected: "a declared service",
};
/** A worker that is warming up is assumed to run at half its speed. */
const WARM_UP_SLOWNESS = 2;

export interface WorkerFleetOptions {
  readonly epoch: number;
  readonly store: StateStore;
  readonly workerPort: WorkerPort;
  readonly recordDecoder: RecordDecoder;
  readonly follower: TableFollower;
  readonly clock: Clock;
  readonly nowUnixMs: () => number;
  readonly log: CellLog;
  readonly bounds: CellBounds;
  readonly heartbeatMs: number;
  /** The store's limit of the value of a row. */
  readonly rowLimitBytes: number;
  /** Whether the declared state names the service; undefined while the state is not known. */
  readonly isDeclared: (service: ServiceName) => boolean | undefined;
  /** Whether this entry may send commands now: nobody else can have taken the lease yet. */
  readonly canAct: () => boolean;
  /** Whether the failure domain is out of service. */
  readonly isOut: (failureDomain: FailureDomainName) => boolean;
  readonly listener: SessionListener;
  /** The speed of the worker's present incarnation. */
  readonly getSpeed: (
    session: WorkerSession,
  ) => Pick<WorkerView, "speed" | "isSpeedMeasured">;
  /** Called when workers were added or removed, or became usable. */
  readonly onChanged: () => void;
}

/** All workers of the cell. */
export class WorkerFleet {
  readonly #options: WorkerFleetOptions;
  readonly #sessions = new Map<WorkerName, WorkerSession>();
  readonly #directory: WorkerDirectory;
  /** Workers of which it is known that they have reported in this epoch; not a complete list. */
  readonly #reportedWorkers = new Set<WorkerName>();
  /**
   * Workers of the stored roster that have not reported in this epoch: tasks of earlier lease holders
   * may run there.
   */
  readonly #carriedOver = new Set<WorkerName>();
  readonly #roster: RosterRows;
  readonly #unusable: UnusableRecords;
  readonly #firstContacts: FirstContacts;
  readonly #createdMs: number;
  /** Workers that had not reported when the records were applied last. */
  #unreportedWorkers = 0;
  #snapshot: DirectorySnapshot | undefined;
  #isRosterWriteDue = false;
  #isWritingRoster = false;
  /** Whether the list may have changed since the write that is under way was begun. */
  #isRosterOutdated = false;
  #isStopped = false;

  private constructor(options: WorkerFleetOptions) {
    this.#options = options;
    this.#directory = WorkerDirectory.create(options);
    this.#roster = RosterRows.create(options.rowLimitBytes);
    this.#unusable = UnusableRecords.create(options);
    this.#firstContacts = FirstContacts.create(options.clock);
    this.#createdMs = options.clock.nowMs();
  }

  static create(options: WorkerFleetOptions): WorkerFleet {
    return new WorkerFleet(options);
  }

  get sessions(): readonly WorkerSession[] {
    return [...this.#sessions.values()];
  }

  get(worker: WorkerName): WorkerSession | undefined {
    return this.#sessions.get(worker);
  }

  /**
   * Whether all workers that have answered refuse commands of this epoch, so that there is a later
   * one.
   */
  get isFencedByAll(): boolean {
    return this.sessions.some(({ isFenced }) => isFenced) &&
      this.sessions.every(({ hasReported }) => !hasReported);
  }

  /** Number of rows of the workers' table that name no worker to use. */
  get ignoredRecords(): number {
    return this.#unusable.count;
  }

  /** Whether a row stands under the worker's name that names no worker to use. */
  hasUnusableRecord(worker: WorkerName): boolean {
    return this.#unusable.has(worker);
  }

  stop(): void {
    this.#isStopped = true;
    for (const session of this.#sessions.values()) session.stop();
  }

  /** The workers that may get new tasks now. */
  createUsableWorkerViews(): readonly WorkerView[] {
    return [...this.#sessions.values()].flatMap((session) => {
      const { record } = session;
      if (record === undefined || !this.#isUsable(session, record)) {
        return [];
      }
      return [{
        ...createView(session, record),
        ...this.#options.getSpeed(session),
      }];
    });
  }

  /** Whether the worker is usable and has room for all tasks that are placed there. */
  mayStart(worker: WorkerName): boolean {
    const session = this.#sessions.get(worker);
    const record = session?.record;
    if (session === undefined || record === undefined) return false;
    const { free } = computeAvailability(record.capacity, session.taskRuns);
    return this.#isUsable(session, record) && coversNeed(free, NO_RESOURCES);
  }

  #isUsable(
    session: WorkerSession,
    record: WorkerRecord,
  ): boolean {
    // A later incarnation may be of another kind than the one that wrote the record, and another
    // writer may have overwritten it.
    const isPresent =
      record.incarnationStartUnixMs === session.incarnationStartUnixMs &&
      record.address === session.target.address;
    return isPresent && !record.isDraining && session.isReachable &&
      session.isRostered && !session.isPaused &&
      !this.#options.isOut(record.failureDomain);
  }

  /**
   * Whether the worker may run tasks that an earlier lease holder started: it has not reported in
   * this epoch, and leases that were granted before may not have expired. This includes workers
   * that neither the roster nor a record names.
   */
  isUnreported(worker: WorkerName): boolean {
    if (this.#hasReported(worker)) return false;
    const { clock, bounds } = this.#options;
    return clock.nowMs() - this.#createdMs <=
      computeLongestLeaseMs(bounds.leaseMaximumMs);
  }

  #hasReported(worker: WorkerName): boolean {
    if (this.#reportedWorkers.has(worker)) return true;
    if (!this.#sessions.get(worker)?.hasReported) return false;
    this.#reportedWorkers.add(worker);
    return true;
  }

  /** What `isUnreported` is concluded from for the workers of an earlier placement, for the log. */
  describeEarlierWorkers(workers: readonly WorkerName[]): LogFields {
    const { clock, bounds } = this.#options;
    return {
      reported: workers.filter((worker) => this.#hasReported(worker)),
      unreported: workers.filter((worker) => !this.#hasReported(worker)),
      holderAgeMs: Math.round(clock.nowMs() - this.#createdMs),
      longestLeaseMs: Math.round(computeLongestLeaseMs(bounds.leaseMaximumMs)),
    };
  }

  /**
   * Takes note of the ends of task runs that have been processed so far; the returned function
   * marks them as stored.
   */
  snapshotProcessedEnds(): () => void {
    const ends = [...this.#sessions.values()].map((session) => ({
      session,
      sequence: session.processedSequence,
      incarnationStartUnixMs: session.incarnationStartUnixMs,
    }));
    return () =>
      ends.forEach(({ session, sequence, incarnationStartUnixMs }) =>
        session.setEndsStored(sequence, incarnationStartUnixMs)
      );
  }

  /** Reads the workers' records and updates the sessions. */
  async read(): Promise<void> {
    const snapshot = await this.#directory.read();
    if (snapshot === undefined || this.#isStopped) return;
    this.#snapshot = snapshot;
    this.applyRecords();
    for (const leftWorker of snapshot.leftWorkers) {
      this.#options.log.info("worker.left", { ...leftWorker });
      this.#sessions.get(leftWorker.worker)?.markLeft(leftWorker);
    }
  }

  /** Applies the records that were read last to the sessions, by the services declared now. */
  applyRecords(): void {
    if (this.#snapshot === undefined || this.#isStopped) return;
    const { isDeclared } = this.#options;
    const usable = new Map<WorkerName, WorkerRecord>();
    const problems = new Map(this.#snapshot.problems);
    for (const [worker, record] of this.#snapshot.records) {
      const isServiceDeclared = isDeclared(record.service);
      if (isServiceDeclared === true) usable.set(worker, record);
      if (isServiceDeclared === false) problems.set(worker, UNDECLARED_SERVICE);
    }
    this.#unusable.update(problems, new Set<string>(usable.keys()));
    for (const record of usable.values()) {
      this.#openSession(record, SESSION_SOURCE.RECORD).setRecord(record);
    }
    for (const session of this.#sessions.values()) {
      if (!usable.has(session.worker)) session.setRecord(undefined);
    }
    this.#dropIdleSessions();
    this.#countUnreported();
    this.#requestRosterWrite();
    this.#options.onChanged();
  }

  #requestRosterWrite(): void {
    const { log } = this.#options;
    runInBackground(log, WRITE_ROSTER, () => this.#writeRoster());
  }

  /**
   * The session with the worker. A worker at a new address gets a new session once nothing can run at
   * the known one.
   */
  #openSession(
    { worker, address }: WorkerTarget,
    source: SessionSource,
  ): WorkerSession {
    const known = this.#sessions.get(worker);
    if (known !== undefined && known.target.address === address) return known;
    if (known !== undefined && !this.#isReplaceable(known)) return known;
    if (known !== undefined) this.#close(known);
    this.#carriedOver.delete(worker);
    const { epoch, workerPort, clock, log, canAct, bounds, listener } =
      this.#options;
    const session = WorkerSession.create({
      target: { worker, address },
      epoch,
      workerPort,
      bounds,
      clock,
      log,
      listener,
      canAct,
      onFirstReport: () => this.#applyFirstReport(worker),
      getMaximumRetryDelayMs: () =>
        this.#carriedOver.has(worker) ? 0 : this.#computeFirstContactDelayMs(),
      getFirstContacts: () =>
        this.#carriedOver.has(worker) ? undefined : this.#firstContacts,
    });
    this.#sessions.set(worker, session);
    log.info("worker.session_opened", { worker, address, epoch, source });
    session.startPolling();
    return session;
  }

  /** Runs of an earlier lease holder may go on until the worker reports that there are none. */
  #isReplaceable(session: WorkerSession): boolean {
    const mayRunUnreported = this.#carriedOver.has(session.worker) &&
      !session.isClosed && !session.haveLeasesExpired();
    return session.isIdle && !mayRunUnreported;
  }

  #dropIdleSessions(): void {
    for (const session of [...this.#sessions.values()]) {
      const isUnused = session.record === undefined && session.isIdle &&
        (session.hasReported
          // Its row may have been overwritten, until the worker writes it again.
          ? !this.#unusable.has(session.worker)
          : session.haveLeasesExpired());
      if (!isUnused) continue;
      this.#carriedOver.delete(session.worker);
      this.#close(session);
      this.#sessions.delete(session.worker);
    }
  }

  #close(session: WorkerSession): void {
    if (session.hasReported) this.#reportedWorkers.add(session.worker);
    session.stop();
    this.#options.workerPort.forget(session.target);
  }

  /** Opens sessions with the workers that an earlier lease holder may have used. */
  openRosterSessions(): void {
    const { follower, recordDecoder } = this.#options;
    const targets = this.#roster.load(follower.rows(), recordDecoder);
    for (const target of targets) {
      this.#openSession(target, SESSION_SOURCE.ROSTER);
      this.#carriedOver.add(target.worker);
    }
  }

  #countUnreported(): void {
    this.#unreportedWorkers = 0;
    for (const { hasReported } of this.#sessions.values()) {
      if (!hasReported) this.#unreportedWorkers++;
    }
  }

  /** Bounds the rate of the calls to workers that never answer, however many are recorded. */
  #computeFirstContactDelayMs(): number {
    return Math.max(
      FIRST_CONTACT_DELAY_MS,
      this.#unreportedWorkers * MS_PER_FIRST_CONTACT,
    );
  }

  #applyFirstReport(worker: WorkerName): void {
    this.#carriedOver.delete(worker);
    if (this.#isRosterWriteDue) return;
    this.#isRosterWriteDue = true;
    const { clock, log } = this.#options;
    const write = () => {
      this.#isRosterWriteDue = false;
      return this.#writeRoster();
    };
    clock.after(ROSTER_DELAY_MS, guard(log, WRITE_ROSTER, write));
  }

  /** Stores the roster of all workers that may be used, before they are used. */
  async #writeRoster(): Promise<void> {
    if (this.#isStopped) return;
    this.#isRosterOutdated = this.#isWritingRoster;
    if (this.#isWritingRoster) return;
    const listed = this.sessions.filter((session) => this.#isListed(session));
    this.#roster.replace(listed.map(({ target }) => target));
    const { changed } = this.#roster.compare();
    this.#setRostered();
    if (changed.length === 0 || !this.#options.canAct()) return;
    this.#isWritingRoster = true;
    try {
      await Promise.all(changed.map((row) => this.#writeRosterRow(row)));
    } finally {
      this.#isWritingRoster = false;
    }
    if (this.#isStopped) return;
    this.#setRostered();
    this.#options.onChanged();
    if (this.#isRosterOutdated) await this.#writeRoster();
  }

  async #writeRosterRow(row: RosterContents): Promise<void> {
    let isStored = false;
    this.#roster.beginWrite(row);
    try {
      const outcome = await putRow(this.#options, row.key, encodeRoster(row));
      isStored = outcome === "stored";
    } finally {
      this.#roster.recordWrite(row, isStored);
    }
  }

  #setRostered(): void {
    const stored = this.#roster.listStored();
    for (const session of this.#sessions.values()) {
      const { worker, address } = session.target;
      session.isRostered = this.#isListed(session) &&
        stored.get(worker)?.address === address;
    }
  }

  /**
   * Whether a new lease holder has to collect the worker's report: tasks may run there, or may be
   * started there once the roster is stored.
   */
  #isListed(session: WorkerSession): boolean {
    if (!session.isIdle || this.#carriedOver.has(session.worker)) {
      return true;
    }
    return session.hasReported && session.record?.isDraining === false;
  }

  /** Waits for each worker's first report, up to FIRST_REPORT_TIMEOUT_MS. */
  async awaitReports(): Promise<void> {
    const { clock } = this.#options;
    const deadlineMs = clock.nowMs() + FIRST_REPORT_TIMEOUT_MS;
    const isComplete = () =>
      this.#sessions.size > 0 &&
      [...this.#sessions.values()].every(({ hasReported }) => hasReported);
    while (
      !this.#isStopped && !isComplete() && clock.nowMs() < deadlineMs
    ) await clock.sleep(REPORT_CHECK_PERIOD_MS);
  }
}

function createView(
  session: WorkerSession,
  record: WorkerRecord,
): Omit<WorkerView, "speed"> {
  return {
    worker: record.worker,
    service: record.service,
    failureDomain: record.failureDomain,
    rack: record.rack,
    labels: new Set(record.labels),
    capacity: record.capacity,
    ...computeAvailability(record.capacity, session.taskRuns),
    slowness: record.warmUpRemainingMs > 0 ? WARM_UP_SLOWNESS : 1,
  };
}
