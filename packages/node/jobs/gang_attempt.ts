/**
 * One attempt at running a gang: starts all tasks, evaluates their reports, checkpoints or stops
 * all of them, and records the end. Owns the attempt's state; `LiveJobs` applies reports to it and
 * receives one result.
 */
import { assertNever, type WorkerName } from "@coltsfootpond/common";
import {
  COMMAND_STATUS,
  type CommandStatus,
  type TaskReport,
} from "@coltsfootpond/ports";
import { ATTEMPT_END, type AttemptEnd } from "@coltsfootpond/policy";
import {
  LONGEST_REPORT_PERIOD_MS,
  SHORTEST_REPORT_PERIOD_MS,
} from "../constants.ts";
import type { JobEnd } from "../rows.ts";
import type { AttemptResult, GangAttemptOptions } from "./attempt_types.ts";
import { decideStop, type StopDecision } from "./stop_decision.ts";
import {
  collectCheckpoints,
  evaluateGang,
  type GangPlacement,
  STOP_REASON,
  type StopReason,
} from "./live_job.ts";
import {
  createTaskCommands,
  type GangStartOutcome,
  startGang,
} from "./gang_start.ts";
import type { RecordOutcome } from "./job_recorder.ts";
import type { StoredJob } from "./job_rows.ts";

const STOP_RETRY_MS = 1_000;
/** The report period of a running attempt is its expected run time divided by this. */
const REPORTS_PER_RUN = 50;

type Requeue = Omit<
  Extract<StopDecision, { readonly kind: "requeue" }>,
  "kind"
>;

type Phase =
  | "starting"
  | "running"
  | "checkpointing"
  | "stopping"
  | "recording";

/** From the placement decision to the recorded end, or resumed from an earlier owner's row. */
export class GangAttempt {
  readonly #options: GangAttemptOptions;
  readonly #reports = new Map<number, TaskReport>();
  #stored: StoredJob;
  #phase: Phase = "starting";
  #everStarted = false;
  #startedAtMs: number;
  /** Reason of a stop requested during the start; carried out once the start has an outcome. */
  #pendingStop: StopReason | undefined;
  #faultyWorkers: readonly WorkerName[] = [];

  private constructor(options: GangAttemptOptions) {
    this.#options = options;
    this.#stored = options.job.stored;
    this.#startedAtMs = options.clock.nowMs();
  }

  static create(options: GangAttemptOptions): GangAttempt {
    return new GangAttempt(options);
  }

  get placement(): GangPlacement {
    return this.#options.placement;
  }

  /** Whether tasks of this attempt may be running and need their leases renewed. */
  get needsLease(): boolean {
    return this.#everStarted;
  }

  /**
   * Period of the reports that this attempt needs: the shortest while it starts or stops, otherwise
   * in proportion to its run time, so that a job of hours costs few reports and a short one is
   * answered soon.
   */
  get reportPeriodMs(): number {
    if (this.#phase !== "running") return SHORTEST_REPORT_PERIOD_MS;
    const shareMs = this.#options.job.service.expectedRunMs / REPORTS_PER_RUN;
    return Math.min(
      Math.max(shareMs, SHORTEST_REPORT_PERIOD_MS),
      LONGEST_REPORT_PERIOD_MS,
    );
  }

  /** Carries out the placement, beginning with the holds. */
  async start(): Promise<void> {
    const { job, placement, clock, commander, mayStart, events, subject } =
      this.#options;
    events.emit("job.placing", subject);
    const outcome = await startGang({
      row: job.stored.row,
      service: job.service,
      ...placement,
    }, {
      clock,
      commander,
      recordPlacement: () => this.#recordPlacement(),
      mayStart: () => this.#pendingStop === undefined && mayStart(),
    });
    events.emit("job.start_settled", subject, outcome.kind);
    this.#applyStartOutcome(outcome);
  }

  /** Continues an attempt that an earlier owner recorded; `ranMs` is its run time so far. */
  resume(reports: readonly TaskReport[], ranMs: number): void {
    this.#everStarted = reports.some((report) => report.state !== "held");
    this.#startedAtMs -= ranMs;
    this.#phase = "running";
    for (const report of reports) this.#reports.set(report.task.index, report);
    const isComplete =
      reports.length === this.#options.placement.assignments.length &&
      reports.every((report) => report.state !== "held");
    if (isComplete) this.#evaluate();
    else this.stop(STOP_REASON.TASK_LOST);
  }

  applyReport(report: TaskReport): void {
    this.#reports.set(report.task.index, report);
    this.#evaluate();
  }

  /** Requests a checkpoint of every task; stops all when each has one, or after `checkpointMs`. */
  evict(checkpointMs: number): void {
    if (this.#phase === "starting") return this.stop(STOP_REASON.EVICTED);
    if (this.#phase !== "running") return;
    if (!this.#options.job.service.canCheckpoint || checkpointMs <= 0) {
      return this.stop(STOP_REASON.EVICTED);
    }
    this.#phase = "checkpointing";
    void this.#options.commander.command(this.#createCommands("checkpoint"));
    this.#options.clock.after(checkpointMs, () => {
      if (this.#phase === "checkpointing") this.stop(STOP_REASON.EVICTED);
    });
  }

  stop(reason: StopReason): void {
    if (this.#phase === "starting") {
      this.#pendingStop ??= reason;
      return;
    }
    if (this.#phase === "stopping" || this.#phase === "recording") return;
    this.#phase = "stopping";
    void this.#stopAll(reason);
  }

  #createCommands(kind: "checkpoint" | "stop") {
    return createTaskCommands(kind, {
      row: this.#stored.row,
      ...this.#options.placement,
    });
  }

  async #recordPlacement(): Promise<boolean> {
    const transition = await this.#options.recordPlacement(
      this.#options.placement,
    );
    if (transition.kind === "done" && transition.stored !== undefined) {
      this.#stored = transition.stored;
    }
    if (transition.kind === "conflict") {
      this.#applyConflictingRow(transition.current);
    }
    return transition.kind === "done";
  }

  /**
   * Only the owner writes a live job's row, so a row that still exists contains an earlier write of
   * this owner whose answer was lost; a deleted row means that the job was cancelled.
   */
  #applyConflictingRow(current: StoredJob | undefined): void {
    if (current === undefined) this.#pendingStop ??= STOP_REASON.CANCELLED;
    else this.#stored = current;
  }

  #applyStartOutcome(outcome: GangStartOutcome): void {
    switch (outcome.kind) {
      case "started":
        this.#enterRunning();
        this.#options.onStarted();
        if (this.#pendingStop !== undefined) {
          return this.stop(this.#pendingStop);
        }
        return this.#evaluate();
      case "partly_started":
        this.#enterRunning();
        this.#faultyWorkers = outcome.workers;
        return this.stop(STOP_REASON.START_REFUSED);
      case "not_started":
        this.#faultyWorkers = outcome.workers;
        this.#phase = "recording";
        if (this.#pendingStop === STOP_REASON.CANCELLED) {
          return this.#report(ATTEMPT_END.REFUSED, { kind: "gone" });
        }
        if (outcome.recorded) {
          const { failures } = this.#stored.row;
          const attemptEnd = ATTEMPT_END.REFUSED;
          return void this.#requeue({
            attemptEnd,
            checkpoints: undefined,
            failures,
          });
        }
        return this.#report(ATTEMPT_END.REFUSED, {
          kind: "requeued",
          stored: this.#stored,
        });
      default:
        return assertNever(outcome);
    }
  }

  #enterRunning(): void {
    this.#phase = "running";
    this.#everStarted = true;
    this.#startedAtMs = this.#options.clock.nowMs();
  }

  #listReports(): readonly (TaskReport | undefined)[] {
    return this.#options.placement.assignments.map((assignment) =>
      this.#reports.get(assignment.index)
    );
  }

  #evaluate(): void {
    if (this.#phase !== "running" && this.#phase !== "checkpointing") return;
    const status = evaluateGang(this.#listReports());
    switch (status.kind) {
      case "running":
        return;
      case "checkpointed":
        return this.#phase === "checkpointing"
          ? this.stop(STOP_REASON.EVICTED)
          : undefined;
      case "finished":
        this.#phase = "recording";
        return void this.#recordAnswer(status.output);
      case "broken":
        this.#faultyWorkers = status.workers;
        return this.stop(status.reason);
      default:
        return assertNever(status);
    }
  }

  /** Repeats the stop until the fleet has confirmed the end of every task. */
  async #stopAll(reason: StopReason): Promise<void> {
    const { commander, clock, isOwned, events, subject } = this.#options;
    events.emit("job.stopping", subject, reason);
    while (isOwned()) {
      const answer = await commander.command(this.#createCommands("stop"));
      if (answer.kind === "statuses" && answer.statuses.every(isTaskOver)) {
        break;
      }
      await clock.sleep(STOP_RETRY_MS);
    }
    if (!isOwned()) return;
    this.#phase = "recording";
    await this.#recordStop(reason);
  }

  async #recordStop(reason: StopReason): Promise<void> {
    const decision = decideStop({
      reason,
      service: this.#options.job.service,
      everStarted: this.#everStarted,
      checkpoints: collectCheckpoints(this.#listReports()),
      failures: this.#stored.row.failures,
    });
    switch (decision.kind) {
      case "gone":
        return this.#report(ATTEMPT_END.STOPPED, { kind: "gone" });
      case "end":
        return await this.#recordEnd(decision.attemptEnd, decision.jobEnd);
      case "requeue":
        return await this.#requeue(decision);
      default:
        return assertNever(decision);
    }
  }

  async #recordAnswer(output: Uint8Array): Promise<void> {
    const { recorder, placement } = this.#options;
    this.#reportEnd(
      ATTEMPT_END.FINISHED,
      await recorder.recordAnswer(this.#stored, placement.attemptId, output),
    );
  }

  async #recordEnd(end: AttemptEnd, jobEnd: JobEnd): Promise<void> {
    this.#reportEnd(
      end,
      await this.#options.recorder.recordEnd(this.#stored, jobEnd),
    );
  }

  #reportEnd(end: AttemptEnd, outcome: RecordOutcome): void {
    if (outcome === undefined) return;
    this.#report(end, { kind: outcome.kind === "done" ? "ended" : "gone" });
  }

  async #requeue(
    { attemptEnd: end, checkpoints, failures }: Requeue,
  ): Promise<void> {
    const { attemptId: _attemptId, assignments: _assignments, ...row } =
      this.#stored.row;
    const outcome = await this.#options.recorder.recordQueued(this.#stored, {
      ...row,
      state: "queued",
      failures,
      checkpoints: checkpoints ?? row.checkpoints,
    });
    if (outcome === undefined) return;
    const stored = outcome.kind === "done" ? outcome.stored : outcome.current;
    if (stored === undefined) return this.#report(end, { kind: "gone" });
    this.#report(end, { kind: "requeued", stored });
  }

  #report(end: AttemptEnd, next: AttemptResult["next"]): void {
    const ranMs = this.#everStarted
      ? this.#options.clock.nowMs() - this.#startedAtMs
      : 0;
    this.#options.events.emit("job.attempt_ended", {
      ...this.#options.subject,
      durationMs: ranMs,
    }, `${end} ${next.kind}`);
    this.#options.onEnded({ end, ranMs, workers: this.#faultyWorkers, next });
  }
}

function isTaskOver(status: CommandStatus): boolean {
  return status === COMMAND_STATUS.DONE || status === COMMAND_STATUS.NO_TASK ||
    status === COMMAND_STATUS.WORKER_DOWN;
}
