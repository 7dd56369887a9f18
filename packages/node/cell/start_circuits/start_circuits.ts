/**
 * The circuits of all steps and queues whose starts workers have rejected: which starts are due
 * while a circuit is open, which workers they avoid and what may be evicted for them. One instance
 * serves one lease holder; the next one learns it again from its first starts.
 */
import type { Clock, WorkerName } from "@coltsfootpond/common";
import type {
  EvictionLimit,
  QueueName,
  StartCircuit,
  StartRejection,
} from "@coltsfootpond/policy";
import type { DeclaredState } from "@coltsfootpond/ports";
import type { LiveJob, Unit, UnitOfJob } from "../live_job.ts";
import type { CellLog } from "../log.ts";
import type { TaskRun } from "../task_run.ts";
import type { WorkerSession } from "../worker_session.ts";
import { CircuitLog } from "./circuit_log.ts";
import { ChangedQueues } from "./changed_queues.ts";
import { classifyProblem, type StartProblem } from "./start_problems.ts";
import { StartTrials } from "./start_trials.ts";
import {
  formatStep,
  hasStarted,
  trackCircuit,
  type TrackedCircuit,
  type TrackedStep,
} from "./tracked_circuit.ts";

/** A unit that has waited for this long is also started where other steps of its queue failed to. */
const AVOID_WAIT_MS = 2_000;

/** What a problem of a start means for its worker. */
export interface ProblemVerdict {
  /** Whether the worker gets no new tasks for a while. */
  readonly isWorkerSuspected: boolean;
  /** Whether the worker's state may differ from what it last reported. */
  readonly isReportDue: boolean;
  /** Whether the log has not shown the problem yet. */
  readonly isNews: boolean;
}

const UNRELATED_TO_WORK: ProblemVerdict = {
  isWorkerSuspected: true,
  isReportDue: true,
  isNews: true,
};

/** What the start of a unit is limited to. */
export interface StartLimits {
  /** Workers on which it is not started while there are others, the longest avoided first. */
  readonly avoid: ReadonlySet<WorkerName>;
  readonly evictionLimit: EvictionLimit | undefined;
}

export interface StartCircuitsOptions {
  readonly epoch: number;
  readonly clock: Clock;
  readonly log: CellLog;
  readonly getDeclaredState: () => DeclaredState | undefined;
  readonly getSession: (worker: WorkerName) => WorkerSession | undefined;
  readonly requestRound: () => void;
}

export class StartCircuits {
  readonly #options: StartCircuitsOptions;
  readonly #byStep = new Map<string, TrackedCircuit>();
  readonly #byQueue = new Map<QueueName, TrackedCircuit>();
  /** Jobs that may have circuits of steps. */
  readonly #jobsWithCircuits = new WeakSet<LiveJob>();
  /** Queues of which a unit has started since they were declared as they are. */
  readonly #provenQueues = new Set<QueueName>();
  readonly #changedQueues = ChangedQueues.create();
  /** When each worker last accepted a start of any work. */
  readonly #lastAcceptedMs = new WeakMap<WorkerSession, number>();
  readonly #trials = StartTrials.create();
  readonly #log: CircuitLog;
  #rejectedStarts = 0;

  private constructor(options: StartCircuitsOptions) {
    this.#options = options;
    this.#log = CircuitLog.create(options);
  }

  static create(options: StartCircuitsOptions): StartCircuits {
    return new StartCircuits(options);
  }

  /** For gauges. */
  count() {
    return {
      openQueueCircuits: countOpen(this.#byQueue.values()),
      openStepCircuits: countOpen(this.#byStep.values()),
      rejectedStarts: this.#rejectedStarts,
    };
  }

  /** Takes note of a start that has not started its task; `unit` is undefined once its job has ended. */
  recordProblem(
    session: WorkerSession,
    { startSentMs }: TaskRun,
    unit: UnitOfJob | undefined,
    problem: StartProblem,
  ): ProblemVerdict {
    const kind = classifyProblem(problem);
    if (problem !== "unanswered") this.#rejectedStarts++;
    if (kind === undefined || unit === undefined) return UNRELATED_TO_WORK;
    const nowMs = this.#options.clock.nowMs();
    const { job, address } = unit;
    const { queue, steps } = job.spec;
    const { isGang, count } = steps[address.step]!;
    const key = formatStep(unit);
    this.#jobsWithCircuits.add(job);
    const ofStep = track(this.#byStep, key, queue, { job, key });
    const ofQueue = track(this.#byQueue, queue, queue);
    const wasOpen = ofStep.circuit.isOpen || ofQueue.circuit.isOpen;
    const rejection: StartRejection = {
      kind,
      reason: problem,
      source: key,
      worker: session.worker,
      incarnationStartUnixMs: session.incarnationStartUnixMs,
      startCount: isGang ? count : 1,
      sentMs: startSentMs ?? nowMs,
      atMs: nowMs,
    };
    this.#record(ofStep, rejection, 1);
    // One malformed job says little of a queue whose other starts are accepted.
    const sourcesToOpen = this.#provenQueues.has(queue) ? 2 : 1;
    this.#record(ofQueue, rejection, sourcesToOpen);
    const lastAcceptedMs = this.#lastAcceptedMs.get(session) ??
      Number.NEGATIVE_INFINITY;
    const isAttributedToWork = kind === "unauthorized" ||
      [ofStep, ofQueue].some(({ circuit }) =>
        circuit.isOpen && circuit.isAttributedToWork(lastAcceptedMs)
      );
    return {
      isWorkerSuspected: !isAttributedToWork,
      isReportDue: kind === "unspecific",
      isNews: !wasOpen,
    };
  }

  #record(
    tracked: TrackedCircuit,
    rejection: StartRejection,
    sourcesToOpen: number,
  ): void {
    const { circuit, step, queue } = tracked;
    const { clock, requestRound } = this.#options;
    const isOpened = circuit.recordRejection(rejection, sourcesToOpen);
    // While the circuit of its queue is open, that of a step changes nothing.
    const isHidden = step !== undefined && this.isQueueOpen(queue);
    if (isOpened && !isHidden) this.#log.recordOpened(tracked);
    if (!circuit.isOpen) return;
    clock.after(Math.max(0, circuit.nextTrialMs - clock.nowMs()), requestRound);
  }

  /** A worker has accepted the start of a task of the unit. */
  recordAcceptance(session: WorkerSession, unit: Unit): void {
    this.#lastAcceptedMs.set(session, this.#options.clock.nowMs());
    const { queue } = unit.job.spec;
    const isStarted = hasStarted(unit);
    if (isStarted) this.#provenQueues.add(queue);
    for (const tracked of [this.#findStep(unit), this.#byQueue.get(queue)]) {
      if (tracked === undefined) continue;
      tracked.circuit.recordAcceptance(session.worker);
      if (!isStarted) continue;
      if (tracked.circuit.isOpen) this.#log.recordClosing(tracked);
      const wasOpen = tracked.circuit.close();
      if (wasOpen && tracked.step === undefined) this.#expediteTrials(queue);
    }
  }

  #expediteTrials(queue: QueueName): void {
    for (const tracked of this.#byStep.values()) {
      if (tracked.queue === queue) tracked.circuit.expediteTrial();
    }
    this.#options.requestRound();
  }

  /**
   * Chooses the trials of the next round; called before `isWithheld` and `getLimits`. `isBlocked`:
   * whether the unit must not start for another reason.
   */
  beginRound(
    jobs: readonly LiveJob[],
    isBlocked: (unit: Unit) => boolean,
  ): void {
    const nowMs = this.#options.clock.nowMs();
    this.#forgetChangedQueues();
    this.#dropIdle(jobs, nowMs);
    if (this.#isAnyOpen()) {
      this.#trials.choose({
        jobs,
        nowMs,
        findOpen: (unit) => this.#findOpen(unit),
        isBlocked,
        onWithheld: ({ job }, tracked) =>
          this.#log.recordWithheld(job, tracked),
      });
    } else {
      this.#trials.clear();
      this.#log.forgetJobs();
    }
  }

  /** Whether the unit must not start in this round. */
  isWithheld(unit: Unit): boolean {
    return !this.#trials.has(unit) && this.#findOpen(unit) !== undefined;
  }

  /** Whether only trials of the queue's jobs start. */
  isQueueOpen(queue: QueueName): boolean {
    return this.#byQueue.get(queue)?.circuit.isOpen === true;
  }

  /** Whether nothing of the job has started and only trials of it start. */
  isJobWithheld(job: LiveJob): boolean {
    if (this.#byStep.size === 0) return false;
    const units = [...job.units.values()];
    return units.length > 0 &&
      units.every((unit) =>
        !hasStarted(unit) && this.#findOpen(unit) !== undefined
      );
  }

  /** Undefined where the unit's start is not limited. */
  getLimits(unit: Unit, waitedMs: number): StartLimits | undefined {
    const step = this.#findStep(unit)?.circuit;
    const queue = this.#byQueue.get(unit.job.spec.queue)?.circuit;
    if (step === undefined && queue === undefined) return undefined;
    const nowMs = this.#options.clock.nowMs();
    const open = this.#findOpen(unit)?.circuit;
    const avoid = new Set([
      ...this.#listRejecting(step, nowMs),
      ...this.#listRejectingOthers(queue, nowMs, waitedMs),
    ]);
    if (open === undefined && avoid.size === 0) return undefined;
    return { avoid, evictionLimit: open?.getEvictionLimit(nowMs) };
  }

  /** The unit is being placed. */
  recordPlacement(unit: Unit): void {
    this.#trials.recordPlacement(unit, this.#options.clock.nowMs());
  }

  /** Workers that have rejected starts of other steps of the queue. */
  #listRejectingOthers(
    queue: StartCircuit | undefined,
    nowMs: number,
    waitedMs: number,
  ): readonly WorkerName[] {
    if (queue?.isOpen) return this.#listRejecting(queue, nowMs);
    return waitedMs < AVOID_WAIT_MS
      ? this.#listRejecting(queue, nowMs, true)
      : [];
  }

  #listRejecting(
    circuit: StartCircuit | undefined,
    nowMs: number,
    isRepeatedOnly = false,
  ): readonly WorkerName[] {
    const { getSession } = this.#options;
    return circuit?.listRejecting(
      nowMs,
      (worker) => getSession(worker)?.incarnationStartUnixMs,
      isRepeatedOnly,
    ) ?? [];
  }

  #isAnyOpen(): boolean {
    return countOpen(this.#byQueue.values()) > 0 ||
      countOpen(this.#byStep.values()) > 0;
  }

  /** The open circuit on which the unit depends; the queue's comes before the step's. */
  #findOpen(unit: Unit): TrackedCircuit | undefined {
    const queue = this.#byQueue.get(unit.job.spec.queue);
    if (queue?.circuit.isOpen) return queue;
    const step = this.#findStep(unit);
    return step?.circuit.isOpen ? step : undefined;
  }

  #findStep(unit: Unit): TrackedCircuit | undefined {
    return this.#jobsWithCircuits.has(unit.job)
      ? this.#byStep.get(formatStep(unit))
      : undefined;
  }

  /** A queue that is declared otherwise may have its starts accepted now. */
  #forgetChangedQueues(): void {
    const state = this.#options.getDeclaredState();
    if (state === undefined) return;
    const changed = this.#changedQueues.update(state);
    if (changed.size === 0) return;
    changed.forEach((queue) => this.#provenQueues.delete(queue));
    const isChanged = ({ queue }: TrackedCircuit) => changed.has(queue);
    this.#dropWhere(this.#byStep, isChanged);
    this.#dropWhere(this.#byQueue, isChanged);
  }

  #dropIdle(jobs: readonly LiveJob[], nowMs: number): void {
    if (this.#byStep.size === 0 && this.#byQueue.size === 0) return;
    const live = new Set(jobs);
    const queues = new Set(jobs.map(({ spec }) => spec.queue));
    this.#dropWhere(
      this.#byStep,
      ({ circuit, step }) =>
        step !== undefined && !live.has(step.job) || circuit.isIdle(nowMs),
    );
    // What is outdated says nothing of the queue's next jobs.
    this.#dropWhere(
      this.#byQueue,
      ({ circuit, queue }) =>
        !queues.has(queue) && circuit.isOutdated(nowMs) ||
        circuit.isIdle(nowMs),
    );
  }

  #dropWhere<Key>(
    circuits: Map<Key, TrackedCircuit>,
    isDropped: (tracked: TrackedCircuit) => boolean,
  ): void {
    for (const [key, tracked] of circuits) {
      if (!isDropped(tracked)) continue;
      this.#log.recordForgotten(tracked);
      circuits.delete(key);
    }
  }
}

function track<Key>(
  circuits: Map<Key, TrackedCircuit>,
  key: Key,
  queue: QueueName,
  step?: TrackedStep,
): TrackedCircuit {
  const known = circuits.get(key);
  if (known !== undefined) return known;
  const tracked = trackCircuit(queue, step);
  circuits.set(key, tracked);
  return tracked;
}

function countOpen(circuits: Iterable<TrackedCircuit>): number {
  return [...circuits].filter(({ circuit }) => circuit.isOpen).length;
}
