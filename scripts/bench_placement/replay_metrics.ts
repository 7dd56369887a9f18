/** Collects the figures of one policy's replay and reports them. */
import { type JobId, MS_PER_HOUR, MS_PER_SECOND } from "@coltsfootpond/common";
import type { EngineJob } from "@coltsfootpond/policy";
import { type Arrival, JOB_CLASS, type JobClass } from "./arrivals.ts";
import type {
  AllocationTracker,
  ViolationCounts,
} from "./allocation_tracker.ts";

/** A job that a guarantee covers must start within this time. */
const MAXIMUM_GUARANTEE_WAIT_MS = 3_200;
/** A large gang that waits longer than this for its first start counts as starved. */
const STARVED_WAIT_MS = 4 * MS_PER_HOUR;

/** The reported figures, printed under these names. Completion times are from arrival to end. */
export interface PolicyReport {
  readonly policy: string;
  readonly smallP50S: number;
  readonly smallP99S: number;
  readonly largeP50S: number;
  readonly largeP99S: number;
  readonly finished: number;
  readonly unfinished: number;
  readonly refused: number;
  /**
   * Stranded accelerators, the free ones that no large shape can use, as a share of the free ones: time
   * average over time average.
   */
  readonly fragmentation: number;
  /** Time average of the stranded share of the free accelerators, 0 while none is free. */
  readonly fragmentationMomentary: number;
  /** Time average of the stranded share of all accelerators. */
  readonly strandedShare: number;
  readonly utilisation: number;
  readonly guaranteeWaits: number;
  readonly guaranteeWaitsOverBound: number;
  readonly guaranteeWaitMaximumS: number;
  readonly starvedGangs: number;
  readonly evictions: number;
  readonly lostAcceleratorHours: number;
  readonly violations: ViolationCounts;
  readonly violationCount: number;
  readonly decisions: number;
  readonly decisionP50Ms: number;
  readonly decisionP99Ms: number;
  readonly decisionMaximumMs: number;
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

function getPercentile(sorted: readonly number[], percentile: number): number {
  if (sorted.length === 0) return 0;
  const index = Math.ceil(percentile / 100 * sorted.length) - 1;
  return sorted[Math.max(0, index)]!;
}

function sortAscending(values: readonly number[]): number[] {
  return [...values].sort((left, right) => left - right);
}

/** The figures of a replay while it runs. */
export class ReplayMetrics {
  readonly #windowMs: number;
  readonly #completionsMs: Record<JobClass, number[]> = {
    small: [],
    large: [],
    urgent: [],
  };
  readonly #firstStarts = new Map<JobId, number>();
  readonly #guaranteeWaitsMs: number[] = [];
  readonly #decisionTimesMs: number[] = [];
  #finished = 0;
  #unfinished = 0;
  #refused = 0;
  #starvedGangs = 0;
  #evictions = 0;
  #lostAcceleratorMs = 0;
  #sampleCount = 0;
  #fragmentationSum = 0;
  #strandedShareSum = 0;
  #usedShareSum = 0;

  private constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  static create(windowMs: number): ReplayMetrics {
    return new ReplayMetrics(windowMs);
  }

  /** Records the wait of the job's first start; later starts do not count. */
  recordStart(arrival: Arrival, nowMs: number): void {
    const { jobId } = arrival.job;
    if (this.#firstStarts.has(jobId)) return;
    this.#firstStarts.set(jobId, nowMs);
    const waitedMs = nowMs - arrival.atMs;
    if (arrival.jobClass === JOB_CLASS.URGENT) {
      this.#guaranteeWaitsMs.push(waitedMs);
    }
    if (arrival.jobClass === JOB_CLASS.LARGE && waitedMs > STARVED_WAIT_MS) {
      this.#starvedGangs++;
    }
  }

  recordFinished(arrival: Arrival, nowMs: number): void {
    this.#finished++;
    this.#completionsMs[arrival.jobClass].push(nowMs - arrival.atMs);
    this.#firstStarts.delete(arrival.job.jobId);
  }

  /** Counts the job with the time until `endMs`, a lower bound of its completion time. */
  recordUnfinished(arrival: Arrival, endMs: number): void {
    this.#unfinished++;
    this.#completionsMs[arrival.jobClass].push(endMs - arrival.atMs);
    if (this.#firstStarts.has(arrival.job.jobId)) return;
    if (arrival.jobClass === JOB_CLASS.LARGE) this.#starvedGangs++;
    if (arrival.jobClass === JOB_CLASS.URGENT) {
      this.#guaranteeWaitsMs.push(endMs - arrival.atMs);
    }
  }

  /** Counts a job that the policy failed instead of placing it. */
  recordRefusal(): void {
    this.#refused++;
  }

  /** Counts the eviction, and the work lost if the job cannot save a checkpoint. */
  recordEviction(job: EngineJob, ranMs: number): void {
    this.#evictions++;
    if (job.canCheckpoint) return;
    this.#lostAcceleratorMs += ranMs * job.shape.tasks *
      job.shape.perTask.accelerators;
  }

  recordDecision(tookMs: number): void {
    this.#decisionTimesMs.push(tookMs);
  }

  /** Adds a sample of fragmentation; the first quarter of the window is left out as warm-up. */
  sample(atMs: number, allocations: AllocationTracker): void {
    if (atMs < this.#windowMs / 4) return;
    const sample = allocations.sampleFragmentation();
    const { freeAccelerators, strandedAccelerators, totalAccelerators } =
      sample;
    this.#sampleCount++;
    this.#fragmentationSum += freeAccelerators === 0
      ? 0
      : strandedAccelerators / freeAccelerators;
    this.#strandedShareSum += strandedAccelerators / totalAccelerators;
    this.#usedShareSum += 1 - freeAccelerators / totalAccelerators;
  }

  /** The figures, with the given counts of violations. */
  report(policy: string, violations: ViolationCounts): PolicyReport {
    const small = sortAscending(this.#completionsMs.small);
    const large = sortAscending(this.#completionsMs.large);
    const decisions = sortAscending(this.#decisionTimesMs);
    const samples = Math.max(1, this.#sampleCount);
    const waits = sortAscending(this.#guaranteeWaitsMs);
    const overBound = waits.filter((waitMs) =>
      waitMs > MAXIMUM_GUARANTEE_WAIT_MS
    );
    const toSeconds = (timeMs: number) => round(timeMs / MS_PER_SECOND, 1);
    const broken = Object.values(violations)
      .reduce((sum, count) => sum + count, 0);
    return {
      policy,
      smallP50S: toSeconds(getPercentile(small, 50)),
      smallP99S: toSeconds(getPercentile(small, 99)),
      largeP50S: toSeconds(getPercentile(large, 50)),
      largeP99S: toSeconds(getPercentile(large, 99)),
      finished: this.#finished,
      unfinished: this.#unfinished,
      refused: this.#refused,
      fragmentation: round(
        this.#strandedShareSum / Math.max(1e-9, samples - this.#usedShareSum),
        4,
      ),
      fragmentationMomentary: round(this.#fragmentationSum / samples, 4),
      strandedShare: round(this.#strandedShareSum / samples, 4),
      utilisation: round(this.#usedShareSum / samples, 4),
      guaranteeWaits: waits.length,
      guaranteeWaitsOverBound: overBound.length,
      guaranteeWaitMaximumS: toSeconds(waits.at(-1) ?? 0),
      starvedGangs: this.#starvedGangs,
      evictions: this.#evictions,
      lostAcceleratorHours: round(this.#lostAcceleratorMs / MS_PER_HOUR, 1),
      violations,
      violationCount: broken + overBound.length,
      decisions: decisions.length,
      decisionP50Ms: round(getPercentile(decisions, 50), 3),
      decisionP99Ms: round(getPercentile(decisions, 99), 3),
      decisionMaximumMs: round(decisions.at(-1) ?? 0, 3),
    };
  }
}
