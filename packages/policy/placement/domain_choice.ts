/**
 * Chooses the failure domain of a job from the owners' summaries. Single tasks go to the fullest
 * failure domain with free capacity on partly used workers, so that whole racks stay free
 * elsewhere. Otherwise a hash of the job's id selects among weighted failure domains, so that
 * entries with the same outdated summaries do not send all jobs to one failure domain. Because
 * summaries are delayed, an entry subtracts the jobs that it sends from a summary until the next
 * one arrives.
 */
import {
  ADJACENCY,
  type FailureDomainName,
  type JobId,
  MILLIPROCESSORS_PER_PROCESSOR,
  type Shape,
} from "@coltsfootpond/common";
import type { DomainSummary, EngineJob } from "../types.ts";
import { computeDemand } from "./resources.ts";

/** Waiting time before a job may first move to another failure domain. */
const DOMAIN_CHANGE_DELAY_MS = 15_000;
/** The same for pinned work in a failure domain without enough unreserved capacity. */
const STUCK_DOMAIN_CHANGE_DELAY_MS = 3_000;
/** Each move doubles the waiting time before the next, at most this often. */
const MAXIMUM_DOUBLINGS = 6;
/** Least difference in load, as a share of accelerators, for which a job moves. */
const MINIMUM_LOAD_GAIN = 0.05;

export interface DomainChoiceOptions {
  /** Failure domains with a guarantee for the job's organisation and shape. */
  readonly guaranteeDomains?: ReadonlySet<FailureDomainName>;
}

/** The newest summary of each failure domain, where one was received. */
export type DomainSummaries = ReadonlyMap<FailureDomainName, DomainSummary>;

/** 32-bit FNV-1a hash with a final mix, as a number in [0, 1). */
function hashToFraction(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x45d9f3b);
  hash ^= hash >>> 16;
  return (hash >>> 0) / 4_294_967_296;
}

/** Whether a gang of the shape fits the free capacity, as far as the summary shows. */
function fitsNow(summary: DomainSummary, shape: Shape): boolean {
  const demand = computeDemand(shape);
  const free = shape.adjacency === ADJACENCY.FAILURE_DOMAIN
    ? summary.freeAccelerators
    : summary.largestRackFreeAccelerators;
  return free >= demand.accelerators &&
    summary.freeMilliprocessors >= demand.milliprocessors;
}

/** Accelerators in use or queued for, as a share of all. */
function computeLoad(summary: DomainSummary): number {
  const used = summary.totalAccelerators - summary.freeAccelerators;
  return (used + summary.queuedAccelerators) /
    Math.max(1, summary.totalAccelerators);
}

/** Free accelerators, or free processors if the shape needs no accelerators. */
function measureFree(summary: DomainSummary, shape: Shape): number {
  return shape.perTask.accelerators > 0
    ? summary.freeAccelerators
    : summary.freeMilliprocessors / MILLIPROCESSORS_PER_PROCESSOR;
}

/** Weight of a failure domain where the shape does not fit now; lower with a higher load. */
function computeLoadWeight(
  summary: DomainSummary,
  shape: Shape,
): number {
  if (shape.perTask.accelerators === 0) {
    return (1 + measureFree(summary, shape)) / (1 + summary.queuedJobs);
  }
  return Math.max(1, summary.totalAccelerators) /
    Math.max(0.1, computeLoad(summary)) ** 2;
}

/** Weighted rendezvous hashing: chooses each failure domain in proportion to its weight. */
function chooseByWeight(
  jobId: JobId,
  weights: ReadonlyMap<FailureDomainName, number>,
): FailureDomainName | undefined {
  let best: FailureDomainName | undefined;
  let bestScore = Number.NEGATIVE_INFINITY;
  for (const [name, weight] of weights) {
    const uniform = Math.max(
      hashToFraction(`${jobId}@${name}`),
      Number.MIN_VALUE,
    );
    const score = Math.log(uniform) / Math.max(weight, Number.MIN_VALUE);
    if (score > bestScore) [best, bestScore] = [name, score];
  }
  return best;
}

interface SummarisedDomain {
  readonly name: FailureDomainName;
  readonly summary: DomainSummary;
}

/** Prefers free capacity on partly used workers, then the least loss by a start on an empty one. */
function chooseFullest(
  domains: readonly SummarisedDomain[],
  shape: Shape,
): FailureDomainName | undefined {
  const computeLoss = ({ summary }: SummarisedDomain): number => {
    const { largestPartlyFreeAccelerators, openingLoss } = summary;
    const fitsPartlyUsed =
      largestPartlyFreeAccelerators >= shape.perTask.accelerators;
    return fitsPartlyUsed ? -1 : openingLoss;
  };
  const [best] = [...domains].sort((left, right) =>
    computeLoss(left) - computeLoss(right) ||
    left.summary.freeAccelerators - right.summary.freeAccelerators ||
    left.summary.freeMilliprocessors - right.summary.freeMilliprocessors ||
    (left.name < right.name ? -1 : 1)
  );
  return best?.name;
}

/**
 * A gang that loses its work when evicted, which a guarantee's organisation may cause at any time.
 */
function isLostWhenEvicted({ canCheckpoint, shape }: EngineJob): boolean {
  return !canCheckpoint && shape.tasks > 1;
}

/** Can neither checkpoint nor run again, so it starts on unreserved capacity only. */
function isPinned({ canCheckpoint, idempotent }: EngineJob): boolean {
  return !canCheckpoint && !idempotent;
}

function fitsUnreserved(summary: DomainSummary, shape: Shape): boolean {
  return summary.largestRackUnreservedAccelerators >=
    computeDemand(shape).accelerators;
}

/** The failure domains where the gang fits unreserved capacity, or all if there are none. */
function preferUnreserved(
  domains: readonly SummarisedDomain[],
  shape: Shape,
): readonly SummarisedDomain[] {
  if (shape.adjacency === ADJACENCY.FAILURE_DOMAIN) return domains;
  const unreserved = domains.filter(({ summary }) =>
    fitsUnreserved(summary, shape)
  );
  return unreserved.length > 0 ? unreserved : domains;
}

/** The summary as it will be after a job of the shape has been placed. */
export function subtractDemand(
  summary: DomainSummary,
  shape: Shape,
): DomainSummary {
  const { accelerators, milliprocessors } = computeDemand(shape);
  return {
    ...summary,
    freeAccelerators: summary.freeAccelerators - accelerators,
    largestRackFreeAccelerators: summary.largestRackFreeAccelerators -
      accelerators,
    largestPartlyFreeAccelerators: summary.largestPartlyFreeAccelerators -
      accelerators,
    freeMilliprocessors: summary.freeMilliprocessors - milliprocessors,
  };
}

/** Chooses the failure domain of a new job; undefined if none is in service. */
export function chooseFailureDomain(
  job: EngineJob,
  summaries: DomainSummaries,
  domainsInService: readonly FailureDomainName[],
  options: DomainChoiceOptions = {},
): FailureDomainName | undefined {
  const withGuarantee = domainsInService.filter((name) =>
    options.guaranteeDomains?.has(name) ?? false
  );
  const candidates = withGuarantee.length > 0
    ? withGuarantee
    : domainsInService;
  const summarised = candidates.flatMap((name) => {
    const summary = summaries.get(name);
    return summary === undefined ? [] : [{ name, summary }];
  });
  const unreserved = summarised.filter(({ summary }) =>
    fitsUnreserved(summary, job.shape)
  );
  const mustBeUnreserved = isPinned(job) && withGuarantee.length === 0 &&
    unreserved.length > 0;
  const known = mustBeUnreserved ? unreserved : summarised;
  if (known.length === 0) {
    return chooseByWeight(
      job.jobId,
      new Map(candidates.map((name) => [name, 1])),
    );
  }
  const fitting = known.filter(({ summary }) => fitsNow(summary, job.shape));
  if (fitting.length > 0 && job.shape.tasks === 1) {
    return chooseFullest(fitting, job.shape);
  }
  const mustAvoidEviction = isLostWhenEvicted(job) &&
    preferUnreserved(known, job.shape).length < known.length;
  const preferred = mustAvoidEviction
    ? fitting.filter(({ summary }) => fitsUnreserved(summary, job.shape))
    : preferUnreserved(fitting, job.shape);
  if (preferred.length > 0) {
    const weights = preferred.map(({ name, summary }) =>
      [name, 1 + measureFree(summary, job.shape)] as const
    );
    return chooseByWeight(job.jobId, new Map(weights));
  }
  const weights = preferUnreserved(known, job.shape).map(({ name, summary }) =>
    [
      name,
      computeLoadWeight(summary, job.shape),
    ] as const
  );
  return chooseByWeight(job.jobId, new Map(weights));
}

/** A waiting job and the failure domains that it may move to. */
export interface FailureDomainChangeOptions {
  readonly job: EngineJob;
  readonly current: FailureDomainName;
  /** Time that it has waited in its current failure domain. */
  readonly waitedMs: number;
  /** Number of moves so far. */
  readonly moves: number;
  readonly summaries: DomainSummaries;
  readonly domainsInService: readonly FailureDomainName[];
}

/**
 * Chooses a better failure domain for a waiting job; undefined if it should stay. Each move doubles
 * the waiting time before the next and needs a clear gain in load, so that a job does not move back
 * and forth because of outdated summaries.
 */
export function chooseNewFailureDomain(
  options: FailureDomainChangeOptions,
): FailureDomainName | undefined {
  const {
    job,
    current,
    waitedMs,
    moves,
    summaries,
    domainsInService,
  } = options;
  if (!domainsInService.includes(current)) {
    return chooseFailureDomain(job, summaries, domainsInService);
  }
  const here = summaries.get(current);
  if (here === undefined) return undefined;
  const isStuck = isPinned(job) && !fitsUnreserved(here, job.shape);
  const firstDelayMs = isStuck
    ? STUCK_DOMAIN_CHANGE_DELAY_MS
    : DOMAIN_CHANGE_DELAY_MS;
  if (waitedMs < firstDelayMs * 2 ** Math.min(moves, MAXIMUM_DOUBLINGS)) {
    return undefined;
  }
  const better = domainsInService.filter((name) => {
    const summary = summaries.get(name);
    return name !== current && summary !== undefined &&
      fitsNow(summary, job.shape) &&
      (!isLostWhenEvicted(job) || fitsUnreserved(summary, job.shape)) &&
      (isStuck
        ? fitsUnreserved(summary, job.shape)
        : computeLoad(summary) + MINIMUM_LOAD_GAIN < computeLoad(here));
  });
  return chooseFailureDomain(job, summaries, better);
}
