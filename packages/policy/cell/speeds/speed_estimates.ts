/**
 * Estimates the speed of each worker from the progress rates of tasks of the same step on different
 * workers. Such tasks share one estimate of their duration, so its error does not matter. In log
 * space, a rate is the sum of the step's level, the worker's speed and the noise of the task; levels
 * and speeds are solved for alternately.
 */
import type { WorkerName } from "@coltsfootpond/common";
import {
  areUnlike,
  haveRunsChanged,
  measureNoise,
  PRIOR_WEIGHT,
  type Residual,
  shrink,
  summarise,
} from "./residuals.ts";
import { computeMedian, computeWeightedMedian } from "./statistics.ts";

/** Progress of one task over one interval. */
export interface SpeedSample {
  readonly worker: WorkerName;
  /** Identifies the worker's incarnation. */
  readonly incarnationStartUnixMs: number;
  /** `{job}.{occurrence}.{step}`; tasks of one step are compared with each other. */
  readonly stepKey: string;
  /** Identifies the task's run; a newer sample of the same run replaces the earlier one. */
  readonly runKey: string;
  /** Progress per millisecond of work on the worker's clock, 1 = whole task. */
  readonly ratePerMs: number;
  /** The rate is at most `ratePerMs`: too little progress was reported for an exact rate. */
  readonly isUpperBound: boolean;
}

/** Estimated speed of one worker. */
export interface SpeedEstimate {
  readonly incarnationStartUnixMs: number;
  /** Natural logarithm of the speed, shrunk towards 0 (the usual worker). */
  readonly logSpeed: number;
  /** Number of samples, each weighted by its age; 0 where there are none. */
  readonly weight: number;
  /** Standard error of `logSpeed`. */
  readonly standardError: number;
}

/** An estimate that another lease holder made. */
export interface EarlierEstimate {
  readonly worker: WorkerName;
  readonly incarnationStartUnixMs: number;
  readonly logSpeed: number;
  readonly weight: number;
}

/** The weight of a sample halves in this time; a worker gets about one single task in 5 s. */
const HALF_LIFE_MS = 60_000;
/** Older samples are dropped. */
const MAXIMUM_AGE_MS = 120_000;
/** Older estimates of an earlier lease holder are ignored. */
const MAXIMUM_EARLIER_AGE_MS = 60_000;
/** Samples within this time show a worker's present speed; reports come once a second. */
const RECENT_MS = 1_500;
/** Levels and speeds are solved for this many times; each solution starts from the previous one. */
const SWEEPS = 3;
/** Workers whose speed is known at least this well define the usual speed. */
const REFERENCE_WEIGHT = 1;
/** With fewer workers the median is not known better than by assuming 0. */
const MINIMUM_REFERENCE_WORKERS = 5;
/** The number of samples is limited, as each solution visits all of them; the oldest are dropped. */
const MAXIMUM_SAMPLES = 20_000;

interface StoredSample {
  readonly sample: SpeedSample;
  readonly logRate: number;
  /** Of the run's previous sample; undefined for its first one. */
  readonly previousLogRate: number | undefined;
  readonly atMs: number;
}

interface WorkerState {
  readonly incarnationStartUnixMs: number;
  /** Samples before this time are from a time when the worker had another speed. */
  changedMs: number;
  earlier:
    | { readonly estimate: EarlierEstimate; readonly atMs: number }
    | undefined;
  logSpeed: number;
  /** The last well-known logarithm of its speed, relative to the usual worker. */
  knownLogSpeed: number | undefined;
}

/** Collects samples and estimates speeds from them. */
export class SpeedEstimates {
  readonly #samples = new Map<string, StoredSample>();
  readonly #workers = new Map<WorkerName, WorkerState>();

  private constructor() {}

  static create(): SpeedEstimates {
    return new SpeedEstimates();
  }

  /** Adds a sample; samples of an earlier incarnation of the worker are dropped. */
  add(sample: SpeedSample, nowMs: number): void {
    if (!(sample.ratePerMs > 0) || !Number.isFinite(sample.ratePerMs)) return;
    this.#openWorker(sample.worker, sample.incarnationStartUnixMs);
    // Deleted first, so that the map stays in the order of the samples' times.
    const previousLogRate = this.#samples.get(sample.runKey)?.logRate;
    this.#samples.delete(sample.runKey);
    const logRate = Math.log(sample.ratePerMs);
    this.#samples.set(sample.runKey, {
      sample,
      logRate,
      previousLogRate,
      atMs: nowMs,
    });
  }

  /** Uses an earlier lease holder's estimate until samples outweigh it. */
  addEarlier(estimate: EarlierEstimate, atMs: number): void {
    const { worker, incarnationStartUnixMs } = estimate;
    this.#openWorker(worker, incarnationStartUnixMs).earlier = {
      estimate,
      atMs,
    };
  }

  /** Forgets the workers that are gone. */
  retain(isKnown: (worker: WorkerName) => boolean): void {
    for (const worker of this.#workers.keys()) {
      if (!isKnown(worker)) this.#delete(worker);
    }
  }

  /** The estimates of all workers that have had samples or an earlier estimate. */
  estimate(nowMs: number): ReadonlyMap<WorkerName, SpeedEstimate> {
    this.#dropOld(nowMs);
    let residuals = this.#computeResiduals(nowMs);
    for (let sweep = 0; sweep < SWEEPS; sweep++) {
      if (this.#dropBeforeChanges(residuals, nowMs)) {
        residuals = this.#computeResiduals(nowMs);
      }
      for (const [worker, state] of this.#workers) {
        state.logSpeed = summarise(residuals.get(worker) ?? []).logSpeed;
      }
      residuals = this.#computeResiduals(nowMs);
    }
    const summaries = [...this.#workers].map(([worker, state]) => ({
      worker,
      state,
      ...summarise(residuals.get(worker) ?? []),
    }));
    const noise = measureNoise(residuals);
    const referenceLogSpeed = this.#computeReference(summaries);
    return new Map(
      summaries.map(({ worker, state, mean, weight }) => [worker, {
        incarnationStartUnixMs: state.incarnationStartUnixMs,
        logSpeed: weight === 0 ? 0 : shrink(mean - referenceLogSpeed, weight),
        weight,
        standardError: noise / Math.sqrt(weight + PRIOR_WEIGHT),
      }]),
    );
  }

  /**
   * The level of the present solution that corresponds to the usual worker. Rates show only ratios
   * of speeds, and the workers with samples may be mostly slow or fast ones. So the solution is first
   * fitted to what is remembered of its workers; the median of all remembered ones is the usual one.
   */
  #computeReference(
    summaries: readonly {
      readonly state: WorkerState;
      readonly mean: number;
      readonly weight: number;
    }[],
  ): number {
    const known = summaries.filter(({ weight }) => weight >= REFERENCE_WEIGHT);
    if (known.length < MINIMUM_REFERENCE_WORKERS) return 0;
    const shift = computeMedian(
      known.flatMap(({ state, mean }) =>
        state.knownLogSpeed === undefined ? [] : [mean - state.knownLogSpeed]
      ),
    ) ?? 0;
    for (const { state, mean } of known) state.knownLogSpeed = mean - shift;
    const remembered = [...this.#workers.values()].flatMap((state) =>
      state.knownLogSpeed === undefined ? [] : [state]
    );
    const usual = computeMedian(
      remembered.map(({ knownLogSpeed = 0 }) => knownLogSpeed),
    ) ?? 0;
    for (const state of remembered) {
      state.knownLogSpeed = (state.knownLogSpeed ?? 0) - usual;
    }
    return shift + usual;
  }

  #openWorker(worker: WorkerName, incarnationStartUnixMs: number): WorkerState {
    const known = this.#workers.get(worker);
    if (known?.incarnationStartUnixMs === incarnationStartUnixMs) return known;
    if (known !== undefined) this.#delete(worker);
    const state: WorkerState = {
      incarnationStartUnixMs,
      changedMs: Number.NEGATIVE_INFINITY,
      earlier: undefined,
      logSpeed: 0,
      knownLogSpeed: undefined,
    };
    this.#workers.set(worker, state);
    return state;
  }

  #delete(worker: WorkerName): void {
    this.#workers.delete(worker);
    for (const [key, { sample }] of this.#samples) {
      if (sample.worker === worker) this.#samples.delete(key);
    }
  }

  #dropOld(nowMs: number): void {
    for (const [key, { atMs }] of this.#samples) {
      const isExcess = this.#samples.size > MAXIMUM_SAMPLES;
      if (!isExcess && nowMs - atMs <= MAXIMUM_AGE_MS) break;
      this.#samples.delete(key);
    }
  }

  /** Logarithms of the tasks' rates relative to their steps, by worker. */
  #computeResiduals(
    nowMs: number,
  ): ReadonlyMap<WorkerName, readonly Residual[]> {
    const steps = new Map<string, StoredSample[]>();
    for (const stored of this.#samples.values()) {
      const step = steps.get(stored.sample.stepKey);
      if (step === undefined) steps.set(stored.sample.stepKey, [stored]);
      else step.push(stored);
    }
    const residuals = new Map<WorkerName, Residual[]>();
    const add = (worker: WorkerName, residual: Residual) => {
      const known = residuals.get(worker);
      if (known === undefined) residuals.set(worker, [residual]);
      else known.push(residual);
    };
    for (const step of steps.values()) this.#compareStep(step, nowMs, add);
    for (const [worker, { earlier, changedMs }] of this.#workers) {
      if (earlier === undefined || earlier.atMs < changedMs) continue;
      if (nowMs - earlier.atMs > MAXIMUM_EARLIER_AGE_MS) continue;
      const { estimate: { logSpeed, weight }, atMs } = earlier;
      add(worker, {
        value: logSpeed,
        weight: weight * computeDecay(nowMs - atMs),
        change: undefined,
        atMs,
      });
    }
    return residuals;
  }

  #compareStep(
    step: readonly StoredSample[],
    nowMs: number,
    add: (worker: WorkerName, residual: Residual) => void,
  ): void {
    const exact = step.filter(({ sample }) => !sample.isUpperBound);
    const workers = new Set(exact.map(({ sample }) => sample.worker));
    const isComparable = workers.size > 1 ||
      workers.size === 1 && step.length > exact.length;
    if (!isComparable) return;
    const level = computeWeightedMedian(exact.map(({ sample, logRate }) => ({
      value: logRate - this.#getLogSpeed(sample.worker),
      weight: 1,
    })));
    // The level is an average of as many noisy tasks, its own one among them.
    const stepWeight = (exact.length - 1) / exact.length || 0.5;
    for (const { sample, logRate, previousLogRate, atMs } of step) {
      const { worker, isUpperBound } = sample;
      const value = logRate - level;
      if (isUpperBound && value > this.#getLogSpeed(worker)) continue;
      if (atMs < (this.#workers.get(worker)?.changedMs ?? 0)) continue;
      const weight = stepWeight * computeDecay(nowMs - atMs);
      const change = previousLogRate === undefined
        ? undefined
        : logRate - previousLogRate;
      add(worker, { value, weight, change, atMs });
    }
  }

  #getLogSpeed(worker: WorkerName): number {
    return this.#workers.get(worker)?.logSpeed ?? 0;
  }

  /** True if the recent samples show that some worker's speed has changed. */
  #dropBeforeChanges(
    residuals: ReadonlyMap<WorkerName, readonly Residual[]>,
    nowMs: number,
  ): boolean {
    let isChanged = false;
    for (const [worker, all] of residuals) {
      const recent = all.filter(({ atMs }) => nowMs - atMs <= RECENT_MS);
      const older = all.filter(({ atMs }) => nowMs - atMs > RECENT_MS);
      if (older.length === 0 || recent.length === 0) continue;
      if (!haveRunsChanged(recent) && !areUnlike(recent, older)) continue;
      const state = this.#workers.get(worker);
      if (state === undefined) continue;
      state.changedMs = nowMs - RECENT_MS;
      isChanged = true;
    }
    return isChanged;
  }
}

/** Share of its weight that a sample of this age has left. */
function computeDecay(ageMs: number): number {
  return 2 ** (-Math.max(0, ageMs) / HALF_LIFE_MS);
}
