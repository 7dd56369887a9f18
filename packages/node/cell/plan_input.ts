/** Builds the input of one planning round from the lease holder's jobs and workers. */
import type { OrganisationName, ServiceName } from "@coltsfootpond/common";
import {
  type CellJobSpec,
  computeCriticalPathMs,
  computeFreeShares,
  computeLateLoss,
  computeMinimumSpeed,
  computeUrgentHeadroom,
  computeWorkMs,
  findLargestCapacity,
  type JobRankInput,
  listSpeeds,
  mayRunRemote,
  type OrganisationShares,
  type PlanInput,
  type QueueName,
  type Rank,
  RANK_TIER,
  rankJob,
  type RunningUnit,
  type StepSpec,
  URGENT_PRIORITY,
  type WaitingUnit,
  type WorkerView,
} from "@coltsfootpond/policy";
import type { OrganisationGuarantee } from "@coltsfootpond/ports";
import { SuspectUnits } from "./crashes/suspect_units.ts";
import type { LiveJob, Unit } from "./live_job.ts";
import { AvoidedWorkers } from "./start_circuits/avoided_workers.ts";
import type { StartCircuits } from "./start_circuits/start_circuits.ts";

/**
 * Upper bound of the work lost when a task that saves its progress is stopped: one checkpoint
 * period and a restore.
 */
const MAXIMUM_SAVED_LOSS_MS = 1_200;
/** Estimated time until stopped work is placed again. */
const RESTART_WAIT_MS = 2_000;
/**
 * Price of a wasted core-second, and the number of cores that an accelerator counts for (the
 * platform's prices).
 */
export const WASTE_PRICE = 0.0014;
const CORES_PER_ACCELERATOR = 8;
const MILLI = 1_000;

export interface PlanInputOptions {
  readonly jobs: readonly LiveJob[];
  readonly workers: readonly WorkerView[];
  readonly guarantees: readonly OrganisationGuarantee[];
  /** The organisation that a job belongs to now; by default the one that submitted it. */
  readonly findOwner?: (job: CellJobSpec) => OrganisationName | undefined;
  readonly nowMs: number;
  readonly nowUnixMs: number;
  /** Accelerators that urgent jobs of each service ask for in a second. */
  readonly urgentRatesPerS: ReadonlyMap<ServiceName, number>;
  /** Longest time that a task takes to stop. */
  readonly stopLimitMs: number;
  readonly shares?: OrganisationShares;
  /** Whether the unit must not start yet, as an earlier run of it may still be running. */
  readonly isBlocked: (unit: Unit) => boolean;
  /** What rejected starts limit; default nothing. */
  readonly circuits?: Pick<StartCircuits, "getLimits" | "isJobWithheld">;
}

/** Collects the waiting and the running units, each with the data that the planner needs. */
export function createPlanInput(options: PlanInputOptions): PlanInput<Unit> {
  const { jobs, nowMs } = options;
  const suspects = SuspectUnits.create(jobs);
  const workers = options.workers.filter(({ worker }) =>
    !suspects.workersOfSuspects.has(worker)
  );
  const capacity = findLargestCapacity(options.workers);
  if (capacity === undefined) return { workers, waiting: [], running: [] };
  const guaranteed = findGuaranteedJobs(options);
  const meanWorkByQueue = computeMeanWork(jobs, capacity);
  const speeds = listSpeeds(workers);
  const freeShares = computeFreeShares(workers);
  const avoided = AvoidedWorkers.create(workers);
  const waiting: WaitingUnit<Unit>[] = [];
  const running: RunningUnit<Unit>[] = [];
  for (const job of jobs) {
    const { spec } = job;
    const workMs = computeWorkMs(spec.steps, capacity);
    const remainingWorkMs = computeRemainingWork(job, capacity);
    const rankInput: JobRankInput = {
      spec,
      criticalPathMs: computeCriticalPathMs(spec.steps),
      remainingCriticalPathMs: computeCriticalPathMs(
        spec.steps,
        (step) => job.progress.isStepDone(0, step),
      ),
      workMs,
      remainingWorkMs,
      meanWorkMs: meanWorkByQueue.get(spec.queue) ?? workMs,
      ageMs: options.nowUnixMs - spec.acceptedUnixMs,
      isGuaranteed: guaranteed.has(job),
    };
    const rank = rankJob(rankInput);
    const minimumSpeed = computeMinimumSpeed(rankInput, speeds);
    const evictionGain = spec.priority === URGENT_PRIORITY
      ? computeLateLoss(rankInput, Number.POSITIVE_INFINITY)
      : 0;
    let startable = job.countStartable();
    for (const unit of job.units.values()) {
      if (unit.run !== undefined) {
        running.push(createRunning(unit, rankInput, nowMs));
      } else if (
        startable > 0 && !options.isBlocked(unit) && !suspects.isHeldBack(unit)
      ) {
        startable--;
        const waitedMs = nowMs - unit.waitingSinceMs;
        const isGuaranteed = rank.tier === RANK_TIER.GUARANTEED;
        const limits = options.circuits?.getLimits(unit, waitedMs);
        waiting.push({
          unit,
          organisation: spec.organisation,
          rank,
          allowRemote: mayRunRemote({
            job: rankInput,
            waitedMs,
            freeShare: freeShares.get(spec.service) ?? 0,
          }),
          evictionGain,
          displacementCost: spec.priority === URGENT_PRIORITY
            ? undefined
            : computeLateLoss(rankInput, RESTART_WAIT_MS),
          mayUseHeadroom: mayUseHeadroom(spec, rank, unit.step),
          service: spec.service,
          step: unit.step,
          stepKey: unit.stepKey,
          count: unit.count,
          minimumSpeed,
          avoid: avoided.list(unit, waitedMs, limits),
          evictionLimit: limits?.evictionLimit,
          waitedMs,
          isolation: suspects.getIsolation(unit, waitedMs, isGuaranteed),
        });
      }
    }
  }
  const urgentHeadroom = computeUrgentHeadroom({
    ratesPerS: options.urgentRatesPerS,
    stopLimitMs: options.stopLimitMs,
    workers,
  });
  const { shares } = options;
  return { workers, waiting, running, urgentHeadroom, shares };
}

/**
 * Persistent tasks must start however full the cell is. Urgent jobs that have lost all value leave
 * the headroom to others; the age of recurring jobs is not that of the occurrence.
 */
function mayUseHeadroom(
  { priority, recurrence }: CellJobSpec,
  { tier }: Rank,
  step: StepSpec,
): boolean {
  const hasValue = tier !== RANK_TIER.WORTHLESS || recurrence !== undefined;
  return priority === URGENT_PRIORITY && hasValue || step.isPersistent ||
    step.need.accelerators === 0;
}

function createRunning(
  unit: Unit,
  rankInput: JobRankInput,
  nowMs: number,
): RunningUnit<Unit> {
  const { run, step, job } = unit;
  const elapsedMs = nowMs - (run?.startedMs ?? nowMs);
  const lostMs = step.savesProgress
    ? Math.min(elapsedMs, MAXIMUM_SAVED_LOSS_MS)
    : elapsedMs;
  const waste = computeCoreSeconds(step, lostMs) * unit.count * WASTE_PRICE;
  return {
    unit,
    organisation: job.spec.organisation,
    step,
    stepKey: unit.stepKey,
    workers: [...run?.taskRuns.values() ?? []].map(({ worker }) => worker),
    isEvictable: job.spec.priority > URGENT_PRIORITY &&
      run?.isClosing === false,
    isClosing: run?.isClosing,
    evictionCost: waste + computeLateLoss(rankInput, lostMs + RESTART_WAIT_MS),
  };
}

/** Core-seconds of one task of the step, accelerators counted as cores. */
export function computeCoreSeconds(step: StepSpec, durationMs: number): number {
  const cores = step.need.cpuMilli / MILLI +
    step.need.accelerators * CORES_PER_ACCELERATOR;
  return cores * durationMs / MILLI;
}

/** The largest number of accelerators that the tasks of one step of the job use together. */
function countAccelerators(job: LiveJob): number {
  return Math.max(
    ...job.spec.steps.map(({ count, need }) => count * need.accelerators),
  );
}

/**
 * Urgent jobs that their organisation's guarantee covers, the oldest first. Jobs that cannot start
 * get what the others leave.
 */
function findGuaranteedJobs(
  {
    jobs,
    guarantees,
    circuits,
    findOwner = ({ organisation }) => organisation,
  }: PlanInputOptions,
): ReadonlySet<LiveJob> {
  const remainingByOrganisation = new Map<OrganisationName, number>(
    guarantees.map(({ organisation, accelerators }) => [
      organisation,
      accelerators,
    ]),
  );
  const guaranteed = new Set<LiveJob>();
  const urgent = jobs.filter(({ spec }) => spec.priority === URGENT_PRIORITY)
    .sort((one, other) => one.rowVersion - other.rowVersion);
  const withheld = new Set(
    urgent.filter((job) => circuits?.isJobWithheld(job) === true),
  );
  const ordered = [
    ...urgent.filter((job) => !withheld.has(job)),
    ...withheld,
  ];
  for (const job of ordered) {
    const organisation = findOwner(job.spec);
    if (organisation === undefined) continue;
    const remaining = remainingByOrganisation.get(organisation) ?? 0;
    const needed = countAccelerators(job);
    if (needed > remaining) continue;
    remainingByOrganisation.set(organisation, remaining - needed);
    guaranteed.add(job);
  }
  return guaranteed;
}

function computeRemainingWork(
  job: LiveJob,
  capacity: WorkerView["capacity"],
): number {
  const openCounts = new Map<number, number>();
  for (const unit of job.units.values()) {
    const { step } = unit.address;
    openCounts.set(step, (openCounts.get(step) ?? 0) + unit.count);
  }
  return job.spec.steps.reduce((sum, step, number) => {
    const isOpened = openCounts.has(number) ||
      job.progress.isStepDone(0, number);
    const count = isOpened ? openCounts.get(number) ?? 0 : step.count;
    return sum + computeWorkMs([{ ...step, count }], capacity);
  }, 0);
}

function computeMeanWork(
  jobs: readonly LiveJob[],
  capacity: WorkerView["capacity"],
): ReadonlyMap<QueueName, number> {
  const sums = new Map<QueueName, { work: number; jobs: number }>();
  for (const { spec } of jobs) {
    const sum = sums.get(spec.queue) ?? { work: 0, jobs: 0 };
    sum.work += computeWorkMs(spec.steps, capacity);
    sum.jobs++;
    sums.set(spec.queue, sum);
  }
  return new Map([...sums].map(([queue, sum]) => [queue, sum.work / sum.jobs]));
}
