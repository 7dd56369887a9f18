/**
 * The life of one attempt at running a gang: start all, watch, checkpoint or stop all, record the
 * end. Owns the attempt's state; the domain runner feeds it reports and hears one result.
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
import type { AttemptResult, AttemptTaskOptions } from "./attempt_types.ts";
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

/** One attempt. */
export class GangAttempt {
  readonly #options: AttemptTaskOptions;
  readonly #reports = new Map<number, TaskReport>();
  #stored: StoredJob;
  #phase: Phase = "starting";
  #everStarted = false;
  #startedAtMs: number;
  /** Set while the start is under way; carried out once it has settled. */
  #stopWanted: StopReason | undefined;
  #blamed: readonly WorkerName[] = [];

  private constructor(options: AttemptTaskOptions) {
    this.#options = options;
    this.#stored = options.job.stored;
    this.#startedAtMs = options.clock.nowMs();
  }

  static create(options: AttemptTaskOptions): GangAttempt {
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
   * How soon news of this attempt matters: at once while it is asked to go, else in proportion to
   * its run time, so that a job of hours costs few reports and a short one is answered soon.
   */
  get reportPeriodMs(): number {
    if (this.#phase !== "running") return SHORTEST_REPORT_PERIOD_MS;
    const shareMs = this.#options.job.service.expectedRunMs / REPORTS_PER_RUN;
    return Math.min(
      Math.max(shareMs, SHORTEST_REPORT_PERIOD_MS),
      LONGEST_REPORT_PERIOD_MS,
    );
  }

  /** Carries out the placement from the first hold on. */
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
      mayStart: () => this.#stopWanted === undefined && mayStart(),
    });
    events.emit("job.start_settled", subject, outcome.kind);
    this.#settleStart(outcome);
  }

  /** Goes on with an attempt that an earlier owner recorded. */
  resume(reports: readonly TaskReport[], ranMs: number): void {
    this.#everStarted = reports.some((report) => report.state !== "held");
    this.#startedAtMs -= ranMs;
    this.#phase = "running";
    for (const report of reports) this.#reports.set(report.task.index, report);
    const isWhole =
      reports.length === this.#options.placement.assignments.length &&
      reports.every((report) => report.state !== "held");
    if (isWhole) this.#judge();
    else this.stop(STOP_REASON.MEMBER_LOST);
  }

  observe(report: TaskReport): void {
    this.#reports.set(report.task.index, report);
    this.#judge();
  }

  /** Asks every task for a checkpoint and stops them when all have one, or after `checkpointMs`. */
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
      this.#stopWanted ??= reason;
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
    if (transition.kind === "conflict") this.#followRow(transition.current);
    return transition.kind === "done";
  }

  /**
   * Only the owner writes a live job's row, so a row that is still there holds an earlier write of
   * this owner whose answer was lost; a row that is gone means cancelled.
   */
  #followRow(current: StoredJob | undefined): void {
    if (current === undefined) this.#stopWanted ??= STOP_REASON.CANCELLED;
    else this.#stored = current;
  }

  #settleStart(outcome: GangStartOutcome): void {
    switch (outcome.kind) {
      case "started":
        this.#enterRunning();
        this.#options.onStarted();
        if (this.#stopWanted !== undefined) return this.stop(this.#stopWanted);
        return this.#judge();
      case "partly_started":
        this.#enterRunning();
        this.#blamed = outcome.workers;
        return this.stop(STOP_REASON.START_REFUSED);
      case "not_started":
        this.#blamed = outcome.workers;
        this.#phase = "recording";
        if (this.#stopWanted === STOP_REASON.CANCELLED) {
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

  #judge(): void {
    if (this.#phase !== "running" && this.#phase !== "checkpointing") return;
    const verdict = evaluateGang(this.#listReports());
    switch (verdict.kind) {
      case "running":
        return;
      case "checkpointed":
        return this.#phase === "checkpointing"
          ? this.stop(STOP_REASON.EVICTED)
          : undefined;
      case "finished":
        this.#phase = "recording";
        return void this.#recordAnswer(verdict.output);
      case "broken":
        this.#blamed = verdict.workers;
        return this.stop(verdict.reason);
      default:
        return assertNever(verdict);
    }
  }

  /** Repeats the stop until the fleet has confirmed it for every task. */
  async #stopAll(reason: StopReason): Promise<void> {
    const { commander, clock, isHeld, events, subject } = this.#options;
    events.emit("job.stopping", subject, reason);
    while (isHeld()) {
      const answer = await commander.command(this.#createCommands("stop"));
      if (answer.kind === "statuses" && answer.statuses.every(isTaskOver)) {
        break;
      }
      await clock.sleep(STOP_RETRY_MS);
    }
    if (!isHeld()) return;
    this.#phase = "recording";
    await this.#recordStop(reason);
  }

  async #recordStop(reason: StopReason): Promise<void> {
    const after = decideStop({
      reason,
      service: this.#options.job.service,
      everStarted: this.#everStarted,
      checkpoints: collectCheckpoints(this.#listReports()),
      failures: this.#stored.row.failures,
    });
    switch (after.kind) {
      case "gone":
        return this.#report(ATTEMPT_END.STOPPED, { kind: "gone" });
      case "end":
        return await this.#recordEnd(after.attemptEnd, after.jobEnd);
      case "requeue":
        return await this.#requeue(after);
      default:
        return assertNever(after);
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
    this.#options.onEnded({ end, ranMs, workers: this.#blamed, next });
  }
}

function isTaskOver(status: CommandStatus): boolean {
  return status === COMMAND_STATUS.DONE || status === COMMAND_STATUS.NO_TASK ||
    status === COMMAND_STATUS.WORKER_DOWN;
}
