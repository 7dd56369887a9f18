/**
 * Decides whether a submitted job is admitted. A job is refused only on clear evidence: a wrongly
 * refused job costs its caller all of its value, while a wrongly admitted one costs little, because
 * it runs after all denser work.
 */
import {
  computeCriticalPathMs,
  computeObjectiveMs,
  computeWorkMs,
  estimateValue,
  type JobRankInput,
  LATE_LIMIT_FACTOR,
  LATE_VALUE_SHARE,
  rankJob,
  URGENT_PRIORITY,
} from "../job_rank.ts";
import type { CellJobSpec } from "../types.ts";
import {
  computeLevel,
  computeLevelDensity,
  countWaves,
  type LevelWork,
  type LoadForecast,
  type QueueLoad,
  type ServiceLoad,
} from "./load_forecast.ts";

/**
 * Share of the forecast wait and of the forecast displacement that counts as certain. Learned
 * ratios of queues remove the common error of estimates; those of single steps still differ by 20%
 * or more, and part of the waiting work is cancelled or fails.
 */
const EVIDENCE_SHARE = 0.7;
/**
 * Present arrivals are assumed to continue for this long, the time over which they are measured; a
 * burst may end at any time.
 */
export const ARRIVAL_WINDOW_MS = 5_000;
const MS_PER_SECOND = 1_000;
/** Callers wait only some seconds in total. */
const MINIMUM_RETRY_AFTER_S = 1;
/** Least time over which the returns of refused callers are spread. */
const MINIMUM_SPREAD_S = 2;

export type AdmissionDecision =
  | { readonly kind: "admit"; readonly reason: string }
  | {
    readonly kind: "refuse";
    readonly reason: string;
    readonly retryAfterS: number;
    /** What the decision was based on, for the log. */
    readonly inputs: AdmissionInputs;
  };

export interface AdmissionInputs {
  readonly level: number;
  readonly value: number;
  readonly workMs: number;
  readonly aheadMs: number;
  readonly rate: number;
  readonly startMs: number;
  readonly endMs: number;
  /** Expected duration of its critical path. */
  readonly pathMs: number;
  readonly objectiveMs: number;
  readonly displacedValue: number;
  readonly freeAccelerators: number;
}

export interface AdmissionRequest {
  readonly spec: CellJobSpec;
  /** Whether its organisation's guarantee is large enough for the job. */
  readonly isGuaranteed: boolean;
  /** In [0, 1), the same for all tries of the job; spreads the returns of refused callers. */
  readonly spread: number;
}

/** Decides on one submitted job by the load of its service. */
export function decideAdmission(
  request: AdmissionRequest,
  { services, queues }: LoadForecast,
): AdmissionDecision {
  const { spec, isGuaranteed } = request;
  const load = services.find(({ service }) => service === spec.service);
  if (load === undefined) return admit("no backlog");
  if (spec.recurrence !== undefined || spec.steps.some(isOpenEnded)) {
    return admit("no end to forecast");
  }
  const isUrgent = spec.priority === URGENT_PRIORITY;
  if (isUrgent && isGuaranteed) return admit("guarantee");
  const waves = countWaves(spec.steps, load, isUrgent);
  if (waves === 1) return admit("free capacity");
  if (isUrgent && load.hasEvictableRuns) return admit("evictable work runs");
  const queue = queues.find(({ queue }) => queue === spec.queue);
  const forecast = forecastJob(spec, load, queue);
  const { endMs, objectiveMs, value, displacedValue, pathMs } = forecast;
  // Single tasks run beside waiting gangs, which need more capacity at once.
  if (waves * pathMs <= objectiveMs) return admit("free capacity in waves");
  if (endMs > LATE_LIMIT_FACTOR * objectiveMs) {
    return refuse("cannot end in time", request, forecast, load);
  }
  const isLate = endMs > objectiveMs && isAllGangs(spec);
  if (isLate && displacedValue > LATE_VALUE_SHARE * value) {
    return refuse("displaces more value", request, forecast, load);
  }
  return admit("may end in time");
}

/** Single tasks run in gaps that gangs leave, so it is not certain that they displace anything. */
function isAllGangs({ steps }: CellJobSpec): boolean {
  return steps.every(({ isGang }) => isGang);
}

/** Persistent tasks have no end, and filler tasks use what other tasks leave. */
function isOpenEnded({ isPersistent, isFiller }: CellJobSpec["steps"][number]) {
  return isPersistent || isFiller;
}

function forecastJob(
  spec: CellJobSpec,
  load: ServiceLoad,
  queue: QueueLoad | undefined,
): AdmissionInputs {
  const estimatedWorkMs = computeWorkMs(spec.steps, load.reference);
  const criticalPathMs = computeCriticalPathMs(spec.steps);
  const rankInput: JobRankInput = {
    spec,
    criticalPathMs,
    remainingCriticalPathMs: criticalPathMs,
    workMs: estimatedWorkMs,
    remainingWorkMs: estimatedWorkMs,
    meanWorkMs: queue?.meanWorkMs ?? estimatedWorkMs,
    ageMs: 0,
    isGuaranteed: false,
  };
  const ratio = queue?.durationRatio ?? 1;
  const workMs = estimatedWorkMs * ratio;
  const pathMs = criticalPathMs * ratio;
  const level = computeLevel(rankJob(rankInput).density);
  const { aheadMs, rate } = forecastWait(spec, load, level);
  const startMs = EVIDENCE_SHARE * aheadMs / rate;
  return {
    level,
    value: estimateValue(rankInput),
    workMs,
    aheadMs,
    rate,
    startMs,
    endMs: startMs + Math.max(pathMs, EVIDENCE_SHARE * workMs / rate),
    pathMs,
    objectiveMs: computeObjectiveMs(rankInput),
    displacedValue: EVIDENCE_SHARE * workMs * computePrice(load, level),
    freeAccelerators: load.free.accelerators,
  };
}

/**
 * The work that comes before the job, and the rate at which it is done. Jobs of single tasks wait
 * for denser single tasks only, as they run beside gangs that wait for more capacity at once.
 */
function forecastWait(spec: CellJobSpec, load: ServiceLoad, level: number) {
  if (!isAllGangs(spec)) {
    const aheadMs = sumAbove(load.waitingSingleTasks, level);
    return { aheadMs, rate: load.singleTaskRate };
  }
  const aheadMs = sumAbove(load.waiting, level) +
    sumAbove(load.arriving, level) * ARRIVAL_WINDOW_MS;
  return { aheadMs, rate: load.rate };
}

/**
 * Value lost for each worker-millisecond that denser work gives up: the mean density of the denser
 * arrivals, scaled by the share of the service that they fill.
 */
function computePrice({ arriving, rate }: ServiceLoad, level: number): number {
  const arrivingRate = arriving.reduce((sum, [, work]) => sum + work, 0);
  const denser = arriving.filter(([other]) => other > level);
  const valueRate = denser.reduce(
    (sum, [other, work]) => sum + work * computeLevelDensity(other),
    0,
  );
  return valueRate / Math.max(rate, arrivingRate);
}

/** Work of the levels above the given one; equal ones are not certain to come first. */
function sumAbove(works: readonly LevelWork[], level: number): number {
  return works.reduce(
    (sum, [other, work]) => other > level ? sum + work : sum,
    0,
  );
}

/** Seconds until capacity is expected, spread over callers, while the job may still have value. */
export function computeRetryAfterS(
  { aheadMs, rate, objectiveMs, endMs, startMs }: Pick<
    AdmissionInputs,
    "aheadMs" | "rate" | "objectiveMs" | "endMs" | "startMs"
  >,
  runningWorkMs: number,
  spread: number,
): number {
  const expectedS = (aheadMs + runningWorkMs) / rate / MS_PER_SECOND;
  const ownMs = endMs - startMs;
  const latestS = (LATE_LIMIT_FACTOR * objectiveMs - ownMs) / MS_PER_SECOND;
  const earliestS = Math.min(expectedS, Math.max(0, latestS / 2));
  const spreadS = Math.max(MINIMUM_SPREAD_S, earliestS);
  return Math.max(
    MINIMUM_RETRY_AFTER_S,
    Math.ceil(earliestS + spread * spreadS),
  );
}

function admit(reason: string): AdmissionDecision {
  return { kind: "admit", reason };
}

function refuse(
  reason: string,
  { spread }: AdmissionRequest,
  inputs: AdmissionInputs,
  { runningWorkMs }: ServiceLoad,
): AdmissionDecision {
  const retryAfterS = computeRetryAfterS(inputs, runningWorkMs, spread);
  return { kind: "refuse", reason, retryAfterS, inputs };
}
