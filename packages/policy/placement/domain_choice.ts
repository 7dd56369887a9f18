/**
 * Chooses the home of a job from the owners' summaries. Small work goes to the fullest failure
 * domain that has room on workers already in use, so that whole racks stay free elsewhere; what
 * is in doubt is drawn by a hash of the job's id, so that entries with the same old summaries do
 * not all choose alike. Summaries lag: an entry debits what it sends until the next one comes.
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

/** A waiting job is offered another home no sooner than this. */
const REHOME_AFTER_MS = 15_000;
/** Sooner where pinned work finds no unreserved room at all. */
const REHOME_STUCK_AFTER_MS = 3_000;
/** Each move doubles the wait before the next, up to this many doublings. */
const MAXIMUM_DOUBLINGS = 6;
/** Share of its accelerators by which the other home must be less loaded. */
const REHOME_MINIMUM_GAIN = 0.05;

export interface DomainChoiceOptions {
  /** Failure domains that hold a guarantee for the job's organisation and shape. */
  readonly guaranteeDomains?: ReadonlySet<FailureDomainName>;
}

export type DomainSummaries = ReadonlyMap<FailureDomainName, DomainSummary>;

/** FNV-1a, 32 bits, as a number in [0, 1). */
function hashToUnit(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x45d9f3b);
  hash ^= hash >>> 16;
  return (hash >>> 0) / 4_294_967_296;
}

function fitsNow(summary: DomainSummary, shape: Shape): boolean {
  const demand = computeDemand(shape);
  const free = shape.adjacency === ADJACENCY.FAILURE_DOMAIN
    ? summary.freeAccelerators
    : summary.largestRackFreeAccelerators;
  return free >= demand.accelerators &&
    summary.freeMilliprocessors >= demand.milliprocessors;
}

/** Accelerators asked for or in use, as a share of all. */
function computeLoad(summary: DomainSummary): number {
  const used = summary.totalAccelerators - summary.freeAccelerators;
  return (used + summary.queuedAccelerators) /
    Math.max(1, summary.totalAccelerators);
}

/** What is free of the resource that the shape is about. */
function measureFree(summary: DomainSummary, shape: Shape): number {
  return shape.perTask.accelerators > 0
    ? summary.freeAccelerators
    : summary.freeMilliprocessors / MILLIPROCESSORS_PER_PROCESSOR;
}

/** Weight of a failure domain that cannot take the shape now. */
function computeRoominess(summary: DomainSummary, shape: Shape): number {
  if (shape.perTask.accelerators === 0) {
    return (1 + measureFree(summary, shape)) / (1 + summary.queuedJobs);
  }
  return Math.max(1, summary.totalAccelerators) /
    Math.max(0.1, computeLoad(summary)) ** 2;
}

/** Weighted rendezvous: each failure domain wins in proportion to its weight. */
function draw(
  jobId: JobId,
  weights: ReadonlyMap<FailureDomainName, number>,
): FailureDomainName | undefined {
  let best: FailureDomainName | undefined;
  let bestScore = Number.NEGATIVE_INFINITY;
  for (const [name, weight] of weights) {
    const uniform = Math.max(hashToUnit(`${jobId}@${name}`), Number.MIN_VALUE);
    const score = Math.log(uniform) / Math.max(weight, Number.MIN_VALUE);
    if (score > bestScore) [best, bestScore] = [name, score];
  }
  return best;
}

interface KnownDomain {
  readonly name: FailureDomainName;
  readonly summary: DomainSummary;
}

/** Those with room on workers in use first, then where starting on an empty one harms least. */
function chooseFullest(
  domains: readonly KnownDomain[],
  shape: Shape,
): FailureDomainName | undefined {
  const computeHarm = ({ summary }: KnownDomain): number => {
    const { largestPartlyFreeAccelerators, openingLoss } = summary;
    const hasHole = largestPartlyFreeAccelerators >= shape.perTask.accelerators;
    return hasHole ? -1 : openingLoss;
  };
  const [best] = [...domains].sort((left, right) =>
    computeHarm(left) - computeHarm(right) ||
    left.summary.freeAccelerators - right.summary.freeAccelerators ||
    left.summary.freeMilliprocessors - right.summary.freeMilliprocessors ||
    (left.name < right.name ? -1 : 1)
  );
  return best?.name;
}

/** A gang that a guarantee's holder may put out at any moment, and that must then start anew. */
function isLostWhenEvicted({ canCheckpoint, shape }: EngineJob): boolean {
  return !canCheckpoint && shape.tasks > 1;
}

/** Can neither be evicted nor run again, so it starts on unreserved capacity only. */
function isPinned({ canCheckpoint, idempotent }: EngineJob): boolean {
  return !canCheckpoint && !idempotent;
}

function isUnreserved(summary: DomainSummary, shape: Shape): boolean {
  return summary.largestRackUnreservedAccelerators >=
    computeDemand(shape).accelerators;
}

/** For a gang, the failure domains where no guarantee is in its way, if there are any. */
function preferUnreserved(
  domains: readonly KnownDomain[],
  shape: Shape,
): readonly KnownDomain[] {
  if (shape.adjacency === ADJACENCY.FAILURE_DOMAIN) return domains;
  const open = domains.filter(({ summary }) => isUnreserved(summary, shape));
  return open.length > 0 ? open : domains;
}

/** The summary as it will be once a job just sent there has its place. */
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

/** The home of a new job; undefined when no failure domain is in. */
export function chooseFailureDomain(
  job: EngineJob,
  summaries: DomainSummaries,
  domainsIn: readonly FailureDomainName[],
  options: DomainChoiceOptions = {},
): FailureDomainName | undefined {
  const holders = domainsIn.filter((name) =>
    options.guaranteeDomains?.has(name) ?? false
  );
  const candidates = holders.length > 0 ? holders : domainsIn;
  const heardOf = candidates.flatMap((name) => {
    const summary = summaries.get(name);
    return summary === undefined ? [] : [{ name, summary }];
  });
  const open = heardOf.filter(({ summary }) =>
    isUnreserved(summary, job.shape)
  );
  const onlyOpen = isPinned(job) && holders.length === 0 && open.length > 0;
  const known = onlyOpen ? open : heardOf;
  if (known.length === 0) {
    return draw(job.jobId, new Map(candidates.map((name) => [name, 1])));
  }
  const fitting = known.filter(({ summary }) => fitsNow(summary, job.shape));
  if (fitting.length > 0 && job.shape.tasks === 1) {
    return chooseFullest(fitting, job.shape);
  }
  const isRisky = isLostWhenEvicted(job) &&
    preferUnreserved(known, job.shape).length < known.length;
  const safe = isRisky
    ? fitting.filter(({ summary }) => isUnreserved(summary, job.shape))
    : preferUnreserved(fitting, job.shape);
  if (safe.length > 0) {
    const weights = safe.map(({ name, summary }) =>
      [name, 1 + measureFree(summary, job.shape)] as const
    );
    return draw(job.jobId, new Map(weights));
  }
  const weights = preferUnreserved(known, job.shape).map(({ name, summary }) =>
    [
      name,
      computeRoominess(summary, job.shape),
    ] as const
  );
  return draw(job.jobId, new Map(weights));
}

export interface FailureDomainChangeOptions {
  readonly job: EngineJob;
  readonly current: FailureDomainName;
  /** How long it has waited at its current home. */
  readonly waitedMs: number;
  /** How often it has moved already. */
  readonly moves: number;
  readonly summaries: DomainSummaries;
  readonly domainsInService: readonly FailureDomainName[];
}

/**
 * A better home for a waiting job, or undefined. Each move doubles the wait before the next and
 * must gain a clear margin, so that a job does not bounce on lagging summaries.
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
    domainsInService: domainsIn,
  } = options;
  if (!domainsIn.includes(current)) {
    return chooseFailureDomain(job, summaries, domainsIn);
  }
  const here = summaries.get(current);
  if (here === undefined) return undefined;
  const isStuck = isPinned(job) && !isUnreserved(here, job.shape);
  const firstMs = isStuck ? REHOME_STUCK_AFTER_MS : REHOME_AFTER_MS;
  if (waitedMs < firstMs * 2 ** Math.min(moves, MAXIMUM_DOUBLINGS)) {
    return undefined;
  }
  const better = domainsIn.filter((name) => {
    const summary = summaries.get(name);
    return name !== current && summary !== undefined &&
      fitsNow(summary, job.shape) &&
      (!isLostWhenEvicted(job) || isUnreserved(summary, job.shape)) &&
      (isStuck
        ? isUnreserved(summary, job.shape)
        : computeLoad(summary) + REHOME_MINIMUM_GAIN < computeLoad(here));
  });
  return chooseFailureDomain(job, summaries, better);
}
