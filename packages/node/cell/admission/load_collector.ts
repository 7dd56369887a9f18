/** Computes the load of the cell from the lease holder's jobs and the last planning round. */
import type { Clock, ServiceName } from "@coltsfootpond/common";
import {
  ARRIVAL_WINDOW_MS,
  type CellJobId,
  type CellResources,
  computeLevel,
  computeWorkMs,
  DurationRatios,
  estimateValue,
  findLargestCapacity,
  GUARANTEED_LEVEL,
  type LoadForecast,
  type PlanInput,
  type QueueLoad,
  type QueueName,
  RANK_TIER,
  type RunningItem,
  summariseLoad,
  type WorkItem,
} from "@coltsfootpond/policy";
import type { LiveJob, Unit } from "../live_job.ts";

/** A unit waits for capacity, not just for the next round, after some rounds. */
const MINIMUM_WAIT_MS = 100;
const SIGNIFICANT_DIGITS = 2;

interface Arrival extends WorkItem {
  readonly queue: QueueName;
  readonly seenMs: number;
}

export interface LoadCollectorOptions {
  readonly clock: Pick<Clock, "nowMs">;
  /** Whether jobs of the queue can start now; default all can. */
  readonly isCounted?: (queue: QueueName) => boolean;
}

/** Observes rounds, ends and arrivals of one lease holder. */
export class LoadCollector {
  readonly #clock: Pick<Clock, "nowMs">;
  readonly #isCounted: (queue: QueueName) => boolean;
  readonly #ratios = DurationRatios.create();
  #input: PlanInput<Unit> | undefined;
  /** Jobs that were live at the last forecast; undefined before the first. */
  #knownJobs: ReadonlySet<CellJobId> | undefined;
  #arrivals: readonly Arrival[] = [];

  private constructor({ clock, isCounted }: LoadCollectorOptions) {
    this.#clock = clock;
    this.#isCounted = isCounted ?? (() => true);
  }

  static create(options: LoadCollectorOptions): LoadCollector {
    return new LoadCollector(options);
  }

  /** Keeps the input of the last planning round, from which the load is computed. */
  observe(input: PlanInput<Unit>): void {
    this.#input = input;
  }

  /** Learns from a task that has ended as done; restored and adopted runs were seen in part only. */
  recordDone({ job, address, step, run, wasPlacedByThisHolder }: Unit): void {
    if (run === undefined || !wasPlacedByThisHolder) return;
    if (job.progress.getCheckpoint(address) !== "") return;
    const actualMs = this.#clock.nowMs() - run.startedMs;
    this.#ratios.record(job.spec.queue, actualMs, step.estimateMs);
  }

  /** Actual over estimated duration of the queue's tasks; 1 where not known. */
  getDurationRatio(queue: QueueName): number {
    return this.#ratios.get(queue);
  }

  /** The load now; called at regular times, as jobs count as arrived since the last call. */
  computeForecast(jobs: readonly LiveJob[]): LoadForecast {
    const input = this.#input;
    const reference = input && findLargestCapacity(input.workers);
    if (input === undefined || reference === undefined) {
      return { services: [], queues: [] };
    }
    const meanWork = computeMeanWork(jobs, reference);
    this.#recordArrivals(jobs, reference, meanWork);
    const services = summariseLoad({
      workers: input.workers,
      urgentHeadroom: input.urgentHeadroom ?? new Map<ServiceName, number>(),
      waiting: this.#listWaiting(input, reference),
      running: this.#listRunning(input),
      arrivals: this.#arrivals.filter(({ queue }) => this.#isCounted(queue)),
      arrivalWindowMs: ARRIVAL_WINDOW_MS,
    });
    const queues = [...meanWork].map(([queue, meanWorkMs]): QueueLoad => ({
      queue,
      meanWorkMs: round(meanWorkMs),
      durationRatio: round(this.#ratios.get(queue)),
    }));
    return { services, queues: services.length > 0 ? queues : [] };
  }

  #listWaiting(
    { waiting }: PlanInput<Unit>,
    reference: CellResources,
  ): readonly WorkItem[] {
    const nowMs = this.#clock.nowMs();
    return waiting.flatMap(({ unit, rank, service, step, count }) => {
      if (unit.run !== undefined || rank.tier === RANK_TIER.WORTHLESS) {
        return [];
      }
      if (nowMs - unit.waitingSinceMs < MINIMUM_WAIT_MS) return [];
      const level = rank.tier === RANK_TIER.GUARANTEED
        ? GUARANTEED_LEVEL
        : computeLevel(rank.density);
      const workMs = computeWorkMs([{ ...step, count }], reference) *
        this.#ratios.get(unit.job.spec.queue);
      return [{ service, level, workMs, isSingleTasks: !step.isGang }];
    });
  }

  #listRunning({ running }: PlanInput<Unit>): readonly RunningItem[] {
    const nowMs = this.#clock.nowMs();
    return running.flatMap(({ unit, step, isEvictable }) => {
      const { run, job, count } = unit;
      if (run === undefined) return [];
      const percents = [...run.taskRuns.keys()].map(({ percent }) => percent);
      return [{
        service: job.spec.service,
        step,
        count,
        isEvictable,
        progress: {
          elapsedMs: nowMs - run.startedMs,
          percent: percents.length > 0 ? Math.min(...percents) : 0,
          estimateMs: step.estimateMs * this.#ratios.get(job.spec.queue),
          speed: 1,
        },
      }];
    });
  }

  /** A new holder counts none of the jobs that it finds as having just arrived. */
  #recordArrivals(
    jobs: readonly LiveJob[],
    reference: CellResources,
    meanWork: ReadonlyMap<QueueName, number>,
  ): void {
    const nowMs = this.#clock.nowMs();
    const known = this.#knownJobs;
    const arrived = known === undefined
      ? []
      : jobs.filter(({ jobId }) => !known.has(jobId)).map((job) => ({
        ...this.#createArrival(job, reference, meanWork),
        queue: job.spec.queue,
        seenMs: nowMs,
      }));
    this.#knownJobs = new Set(jobs.map(({ jobId }) => jobId));
    this.#arrivals = [...this.#arrivals, ...arrived].filter(({ seenMs }) =>
      nowMs - seenMs < ARRIVAL_WINDOW_MS
    );
  }

  #createArrival(
    { spec }: LiveJob,
    reference: CellResources,
    meanWork: ReadonlyMap<QueueName, number>,
  ): WorkItem {
    const workMs = computeWorkMs(spec.steps, reference);
    const meanWorkMs = meanWork.get(spec.queue) ?? workMs;
    const value = estimateValue({ spec, workMs, meanWorkMs });
    return {
      service: spec.service,
      level: computeLevel(value / Math.max(workMs, 1)),
      workMs: workMs * this.#ratios.get(spec.queue),
      isSingleTasks: spec.steps.every(({ isGang }) => !isGang),
    };
  }
}

function computeMeanWork(
  jobs: readonly LiveJob[],
  reference: CellResources,
): ReadonlyMap<QueueName, number> {
  const worksByQueue = new Map<QueueName, number[]>();
  for (const { spec } of jobs) {
    const works = worksByQueue.get(spec.queue) ?? [];
    works.push(computeWorkMs(spec.steps, reference));
    worksByQueue.set(spec.queue, works);
  }
  return new Map([...worksByQueue].map(([queue, works]) => [
    queue,
    works.reduce((sum, work) => sum + work, 0) / works.length,
  ]));
}

function round(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}
