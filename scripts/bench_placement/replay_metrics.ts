/** Figures of one policy's replay. */
import { type JobId, MS_PER_HOUR, MS_PER_SECOND } from "@coltsfootpond/common";
import type { EngineJob } from "@coltsfootpond/policy";
import { type Arrival, JOB_CLASS, type JobClass } from "./arrivals.ts";
import type {
  AllocationTracker,
  ViolationCounts,
} from "./allocation_tracker.ts";

const GUARANTEE_WAIT_BOUND_MS = 3_200;
/** A gang that waits this much longer than it runs counts as starved. */
const STARVED_WAIT_MS = 4 * MS_PER_HOUR;

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
   * Share of free accelerators that no large shape can use: the time average of those that none
   * can use, over the time average of the free ones.
   */
  readonly fragmentation: number;
  /** Time average of the momentary share, 0 while nothing is free. */
  readonly fragmentationMomentary: number;
  /** Time average of stranded accelerators as a share of all. */
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

function ascending(values: readonly number[]): number[] {
  return [...values].sort((left, right) => left - right);
}

export class ReplayMetrics {
  readonly #windowMs: number;
  readonly #completionsMs: Record<JobClass, number[]> = {
    small: [],
    large: [],
    urgent: [],
  };
  readonly #firstStarts = new Map<JobId, number>();
  readonly #guaranteeWaitsMs: number[] = [];
  readonly #decisionsMs: number[] = [];
  #finished = 0;
  #unfinished = 0;
  #refused = 0;
  #starved = 0;
  #evictions = 0;
  #lostAcceleratorMs = 0;
  #samples = 0;
  #fragmentation = 0;
  #stranded = 0;
  #used = 0;

  private constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  static create(windowMs: number): ReplayMetrics {
    return new ReplayMetrics(windowMs);
  }

  noteStart(arrival: Arrival, nowMs: number): void {
    const { jobId } = arrival.job;
    if (this.#firstStarts.has(jobId)) return;
    this.#firstStarts.set(jobId, nowMs);
    const waitedMs = nowMs - arrival.atMs;
    if (arrival.jobClass === JOB_CLASS.URGENT) {
      this.#guaranteeWaitsMs.push(waitedMs);
    }
    if (arrival.jobClass === JOB_CLASS.LARGE && waitedMs > STARVED_WAIT_MS) {
      this.#starved++;
    }
  }

  noteFinished(arrival: Arrival, nowMs: number): void {
    this.#finished++;
    this.#completionsMs[arrival.jobClass].push(nowMs - arrival.atMs);
    this.#firstStarts.delete(arrival.job.jobId);
  }

  /** Counts with the time that it has taken at least. */
  noteUnfinished(arrival: Arrival, endMs: number): void {
    this.#unfinished++;
    this.#completionsMs[arrival.jobClass].push(endMs - arrival.atMs);
    if (this.#firstStarts.has(arrival.job.jobId)) return;
    if (arrival.jobClass === JOB_CLASS.LARGE) this.#starved++;
    if (arrival.jobClass === JOB_CLASS.URGENT) {
      this.#guaranteeWaitsMs.push(endMs - arrival.atMs);
    }
  }

  noteRefusal(): void {
    this.#refused++;
  }

  noteEviction(job: EngineJob, ranMs: number): void {
    this.#evictions++;
    if (job.canCheckpoint) return;
    this.#lostAcceleratorMs += ranMs * job.shape.tasks *
      job.shape.perTask.accelerators;
  }

  noteDecision(tookMs: number): void {
    this.#decisionsMs.push(tookMs);
  }

  /** The first quarter of the window warms up and is left out. */
  sample(atMs: number, ledger: AllocationTracker): void {
    if (atMs < this.#windowMs / 4) return;
    const sample = ledger.sampleFragmentation();
    const { freeAccelerators, strandedAccelerators, totalAccelerators } =
      sample;
    this.#samples++;
    this.#fragmentation += freeAccelerators === 0
      ? 0
      : strandedAccelerators / freeAccelerators;
    this.#stranded += strandedAccelerators / totalAccelerators;
    this.#used += 1 - freeAccelerators / totalAccelerators;
  }

  report(policy: string, violations: ViolationCounts): PolicyReport {
    const small = ascending(this.#completionsMs.small);
    const large = ascending(this.#completionsMs.large);
    const decisions = ascending(this.#decisionsMs);
    const samples = Math.max(1, this.#samples);
    const waits = ascending(this.#guaranteeWaitsMs);
    const overBound = waits.filter((waitMs) =>
      waitMs > GUARANTEE_WAIT_BOUND_MS
    );
    const toS = (timeMs: number) => round(timeMs / MS_PER_SECOND, 1);
    const broken = Object.values(violations)
      .reduce((sum, count) => sum + count, 0);
    return {
      policy,
      smallP50S: toS(getPercentile(small, 50)),
      smallP99S: toS(getPercentile(small, 99)),
      largeP50S: toS(getPercentile(large, 50)),
      largeP99S: toS(getPercentile(large, 99)),
      finished: this.#finished,
      unfinished: this.#unfinished,
      refused: this.#refused,
      fragmentation: round(
        this.#stranded / Math.max(1e-9, samples - this.#used),
        4,
      ),
      fragmentationMomentary: round(this.#fragmentation / samples, 4),
      strandedShare: round(this.#stranded / samples, 4),
      utilisation: round(this.#used / samples, 4),
      guaranteeWaits: waits.length,
      guaranteeWaitsOverBound: overBound.length,
      guaranteeWaitMaximumS: toS(waits.at(-1) ?? 0),
      starvedGangs: this.#starved,
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
