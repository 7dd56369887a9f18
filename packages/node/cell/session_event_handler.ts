/** Applies what workers report: run ends, refused starts, lost runs and stray runs. */
import type { Clock } from "@coltsfootpond/common";
import { RUN_END } from "@coltsfootpond/policy";
import type {
  EndedTask,
  RunningTask,
  StartRefusal,
} from "@coltsfootpond/ports";
import { BACKGROUND_ACTIVITY } from "./background/activities.ts";
import { runInBackground } from "./background/run_in_background.ts";
import type { CrashTracker } from "./crashes/crash_tracker.ts";
import type { JobRegistry } from "./job_registry.ts";
import { formatUnitKey, type Unit } from "./live_job.ts";
import type { CellLog, LogFields } from "./log.ts";
import type {
  GoneEvidence,
  LostContact,
  SessionListener,
  TaskRun,
} from "./task_run.ts";
import type { ProgressWriter } from "./progress_writer.ts";
import type { RunRegistry } from "./run_registry.ts";
import type { SpeedTracker } from "./speeds/speed_tracker.ts";
import type { StartCircuits } from "./start_circuits/start_circuits.ts";
import { WorkerQuarantine } from "./worker_quarantine.ts";
import type { WorkerSession } from "./worker_session.ts";

/** A worker that is suspected after a refused or unanswered start gets no new tasks for this long. */
const REFUSED_BACKOFF_MS = 400;

export interface SessionEventHandlerOptions {
  readonly epoch: number;
  readonly jobs: JobRegistry;
  readonly runs: RunRegistry;
  readonly writer: ProgressWriter;
  readonly crashes: CrashTracker;
  readonly speeds: SpeedTracker;
  readonly circuits: StartCircuits;
  readonly clock: Clock;
  readonly log: CellLog;
  /** Whether the workers' reports have been collected; stray runs are resolved only then. */
  readonly isReady: () => boolean;
  readonly requestRound: () => void;
  readonly onNewerHolder: (reason: string) => void;
}

/** Receives the events of all worker sessions of one lease holder. */
export class SessionEventHandler implements SessionListener {
  readonly #options: SessionEventHandlerOptions;
  readonly #quarantine: WorkerQuarantine;

  private constructor(options: SessionEventHandlerOptions) {
    this.#options = options;
    this.#quarantine = WorkerQuarantine.create(options);
  }

  static create(options: SessionEventHandlerOptions): SessionEventHandler {
    return new SessionEventHandler(options);
  }

  onRefused(
    session: WorkerSession,
    taskRun: TaskRun,
    reason: StartRefusal | "wrong_life" | "restarted",
  ): void {
    const { runs, log, circuits, jobs } = this.#options;
    const verdict = circuits.recordProblem(
      session,
      taskRun,
      jobs.locateTask(taskRun.task),
      reason,
    );
    // A summary is logged once a circuit opens and once it closes.
    if (verdict.isNews) {
      this.#logTask("task.start_refused", session, taskRun, { reason });
    }
    if (verdict.isWorkerSuspected) session.pause(REFUSED_BACKOFF_MS);
    if (verdict.isReportDue) {
      runInBackground(
        log,
        BACKGROUND_ACTIVITY.POLL_WORKER,
        () => session.pollNow(),
      );
    }
    const unit = runs.drop(taskRun);
    if (unit !== undefined) runs.close(unit, `start refused: ${reason}`);
  }

  onStarted(session: WorkerSession, taskRun: TaskRun): void {
    const { jobs, runs, circuits } = this.#options;
    jobs.recordStart(taskRun.task);
    const unit = runs.getUnit(taskRun);
    if (unit !== undefined) circuits.recordAcceptance(session, unit);
  }

  onStartUnanswered(session: WorkerSession, taskRun: TaskRun): void {
    const { runs, circuits, jobs } = this.#options;
    const verdict = circuits.recordProblem(
      session,
      taskRun,
      jobs.locateTask(taskRun.task),
      "unanswered",
    );
    if (verdict.isNews) {
      this.#logTask("task.start_unanswered", session, taskRun);
    }
    if (verdict.isWorkerSuspected) session.pause(REFUSED_BACKOFF_MS);
    const unit = runs.getUnit(taskRun);
    if (unit !== undefined) runs.close(unit, "start unanswered");
    else runs.stopTaskRun(session, taskRun);
  }

  onGone(
    session: WorkerSession,
    taskRun: TaskRun,
    evidence: GoneEvidence,
  ): void {
    const { reason, inputs } = evidence;
    const { runs, writer, crashes } = this.#options;
    this.#logTask("task.gone", session, taskRun, {
      reason,
      ...this.#describeAnswers(taskRun),
      ...inputs,
    });
    const unit = runs.drop(taskRun);
    crashes.recordGone(session, taskRun, evidence);
    if (unit === undefined) return;
    unit.job.progress.recordCheckpoint(unit.address, taskRun.checkpoint);
    // A later holder would wait for a worker that the stored placement names.
    writer.mark(unit.job, false);
    runs.close(unit, reason);
  }

  onEnded(session: WorkerSession, ended: EndedTask, taskRun?: TaskRun): void {
    const { jobs, runs, writer, log, requestRound } = this.#options;
    const { task, run, end } = ended;
    log.info("task.ended", {
      task,
      run,
      worker: session.worker,
      end,
      isFollowed: taskRun !== undefined && runs.getUnit(taskRun) !== undefined,
    });
    if (taskRun !== undefined) {
      this.#options.speeds.recordEnd(session, ended, taskRun);
      runs.drop(taskRun);
    }
    const location = jobs.locateTask(task);
    if (location !== undefined) {
      const unit = location.job.units.get(formatUnitKey(location.address));
      if (end === RUN_END.FAILED) unit?.failedOn.add(session.worker);
      this.#quarantine.recordEnd(session, location.job.jobId, end);
      jobs.applyEnd(location, ended);
      if (taskRun !== undefined) this.#closeUnlessDone(unit, ended);
    }
    writer.markEnds();
    requestRound();
  }

  onStray(session: WorkerSession, running: RunningTask): void {
    const { jobs, runs, writer, isReady } = this.#options;
    const taskRun = runs.addStray(session, running);
    jobs.recordStart(running.task);
    const job = jobs.locateTask(running.task)?.job;
    if (job !== undefined) writer.mark(job, false);
    // Before all workers have reported, the end that makes the task's step due may be missing.
    if (isReady()) runs.resolveStray(taskRun);
  }

  onReport(session: WorkerSession): void {
    this.#options.speeds.recordReport(session);
    this.#options.requestRound();
  }

  onContactLost(session: WorkerSession, contact: LostContact): void {
    this.#options.crashes.recordLostContact(session, contact);
  }

  /**
   * Only a worker that has reported in this epoch proves that it has received a command of a later
   * one; any process may listen at the address of a record.
   */
  onFenced(session: WorkerSession): void {
    if (!session.hasReported) return;
    this.#options.onNewerHolder(`orders fenced by ${session.worker}`);
  }

  /**
   * Closes the unit's run after one of its tasks ended, unless the gang is done and other tasks
   * still have to report their ends.
   */
  #closeUnlessDone(unit: Unit | undefined, { run, end }: EndedTask): void {
    if (unit?.run === undefined || unit.run.run !== run) return;
    if (end !== RUN_END.DONE || unit.run.taskRuns.size === 0) {
      this.#options.runs.close(unit, `a member ended ${end}`);
    }
  }

  /** What was sent to the worker, and what it has answered about the run so far. */
  #describeAnswers(taskRun: TaskRun): LogFields {
    const nowMs = this.#options.clock.nowMs();
    const computeAgeMs = (ms: number | undefined) =>
      ms === undefined ? undefined : Math.round(nowMs - ms);
    return {
      startSentAgoMs: computeAgeMs(taskRun.startSentMs),
      startAnsweredAgoMs: computeAgeMs(taskRun.startAnsweredMs),
      stopAnsweredAgoMs: computeAgeMs(taskRun.stopAnsweredMs),
      isListed: taskRun.isListed,
      reportedClockMs: taskRun.percentReportedClockMs,
    };
  }

  #logTask(
    event: "task.start_refused" | "task.start_unanswered" | "task.gone",
    { target, incarnationStartUnixMs }: WorkerSession,
    { task, run }: TaskRun,
    fields: LogFields = {},
  ): void {
    this.#options.log.warn(event, {
      task,
      run,
      ...target,
      epoch: this.#options.epoch,
      incarnationStartUnixMs,
      ...fields,
    });
  }
}
