/** What the holder makes of what workers report: ends, refusals, losses and runs that it does not know. */
import type { Clock } from "@coltsfootpond/common";
import { RUN_END } from "@coltsfootpond/policy";
import type {
  EndedTask,
  RunningTask,
  StartRefusal,
} from "@coltsfootpond/ports";
import type { JobRegistry } from "./job_registry.ts";
import { formatUnitKey, type Unit } from "./live_job.ts";
import type { CellLog } from "./log.ts";
import type { SessionListener, TaskRun } from "./task_run.ts";
import type { ProgressWriter } from "./progress_writer.ts";
import type { RunRegistry } from "./run_registry.ts";
import { WorkerQuarantine } from "./worker_quarantine.ts";
import type { WorkerSession } from "./worker_session.ts";

/** A worker that refused a start is left alone this long. */
const REFUSED_PAUSE_MS = 400;

export interface SessionEventsOptions {
  readonly jobs: JobRegistry;
  readonly runs: RunRegistry;
  readonly writer: ProgressWriter;
  readonly clock: Clock;
  readonly log: CellLog;
  /** Whether all workers have been asked: only then is a found run settled. */
  readonly isReady: () => boolean;
  readonly requestRound: () => void;
  readonly onOvertaken: (reason: string) => void;
}

/** Listens to all sessions of one holder. */
export class SessionEventHandler implements SessionListener {
  readonly #options: SessionEventsOptions;
  readonly #judge: WorkerQuarantine;

  private constructor(options: SessionEventsOptions) {
    this.#options = options;
    this.#judge = WorkerQuarantine.create(options);
  }

  static create(options: SessionEventsOptions): SessionEventHandler {
    return new SessionEventHandler(options);
  }

  onRefused(
    session: WorkerSession,
    member: TaskRun,
    reason: StartRefusal | "wrong_life",
  ): void {
    const { runs } = this.#options;
    this.#logTask("task.start_refused", session, member, { reason });
    session.pause(REFUSED_PAUSE_MS);
    void session.quickPoll();
    const unit = runs.drop(member);
    if (unit !== undefined) runs.close(unit, `start refused: ${reason}`);
  }

  onUnsure(session: WorkerSession, member: TaskRun): void {
    const { runs } = this.#options;
    this.#logTask("task.start_unanswered", session, member);
    session.pause(REFUSED_PAUSE_MS);
    const unit = runs.getUnit(member);
    if (unit !== undefined) runs.close(unit, "start unanswered");
    else void session.stopMember(member);
  }

  onGone(session: WorkerSession, member: TaskRun, reason: string): void {
    const { runs } = this.#options;
    this.#logTask("task.gone", session, member, { reason });
    const unit = runs.drop(member);
    if (unit === undefined) return;
    unit.job.progress.recordCheckpoint(unit.address, member.checkpoint);
    runs.close(unit, reason);
  }

  onEnded(session: WorkerSession, ended: EndedTask, member?: TaskRun): void {
    const { jobs, runs, writer, log, requestRound } = this.#options;
    const { task, run, end } = ended;
    log.info("task.ended", { task, run, worker: session.worker, end });
    if (member !== undefined) runs.drop(member);
    const place = jobs.locate(task);
    if (place !== undefined) {
      const unit = place.job.units.get(formatUnitKey(place.address));
      if (end === RUN_END.FAILED) unit?.failedOn.add(session.worker);
      this.#judge.noteEnd(session, place.job.jobId, end);
      jobs.takeEnd(place, ended);
      if (member !== undefined) this.#continueEnd(unit, ended);
    }
    writer.markEnds();
    requestRound();
  }

  onStray(session: WorkerSession, running: RunningTask): void {
    const { runs, isReady } = this.#options;
    const member = runs.addStray(session, running);
    // Until all have reported, an end that makes the task's step due may still be missing.
    if (isReady()) runs.settleStray(member);
  }

  onReport(): void {
    this.#options.requestRound();
  }

  onFenced(session: WorkerSession): void {
    this.#options.onOvertaken(`orders fenced by ${session.worker}`);
  }

  /** The other members of a gang that is done are left to list their own ends. */
  #continueEnd(unit: Unit | undefined, { run, end }: EndedTask): void {
    if (unit?.run === undefined || unit.run.run !== run) return;
    if (end !== RUN_END.DONE || unit.run.members.size === 0) {
      this.#options.runs.close(unit, `a member ended ${end}`);
    }
  }

  #logTask(
    event: "task.start_refused" | "task.start_unanswered" | "task.gone",
    { worker }: WorkerSession,
    { task, run }: TaskRun,
    fields: { readonly reason?: string } = {},
  ): void {
    this.#options.log.warn(event, { task, run, worker, ...fields });
  }
}
