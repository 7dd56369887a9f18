/** Turns the holder's state into the input of one planning round. */
import type { OrganisationName } from "@coltsfootpond/common";
import {
  measureChain,
  measureShare,
  measureWork,
  type PlanInput,
  type QueueName,
  rankJob,
  type RunningUnit,
  type WaitingUnit,
  type WorkerView,
} from "@coltsfootpond/policy";
import type { OrganisationGuarantee } from "@coltsfootpond/ports";
import type { LiveJob, Unit } from "./live_job.ts";

/** Priority of jobs that a guarantee covers and that may make others give way. */
const URGENT_PRIORITY = 0;
/** Share of the work of a run that a stop throws away when it saves its progress. */
const SAVED_LOSS_SHARE = 0.1;

export interface PlanInputOptions {
  readonly jobs: readonly LiveJob[];
  readonly workers: readonly WorkerView[];
  readonly guarantees: readonly OrganisationGuarantee[];
  readonly nowMs: number;
  readonly nowUnixMs: number;
  readonly remoteFactor: number;
  /** Units that may run where this holder cannot see. */
  readonly isBlocked: (unit: Unit) => boolean;
}

/** Collects what waits and what runs, each with what the planner needs to know. */
export function createPlanInput(options: PlanInputOptions): PlanInput<Unit> {
  const { jobs, workers, nowMs } = options;
  const capacity = workers[0]?.capacity;
  if (capacity === undefined) return { workers, waiting: [], running: [] };
  const entitled = findEntitled(jobs, options.guarantees);
  const usualWork = measureUsualWork(jobs, capacity);
  const waiting: WaitingUnit<Unit>[] = [];
  const running: RunningUnit<Unit>[] = [];
  for (const job of jobs) {
    const { spec } = job;
    const workMs = measureWork(spec.steps, capacity);
    const remainingWorkMs = measureRemainingWork(job, capacity);
    const rank = rankJob({
      spec,
      chainMs: measureChain(spec.steps),
      workMs,
      remainingWorkMs,
      usualWorkMs: usualWork.get(spec.queue) ?? workMs,
      ageMs: options.nowUnixMs - spec.acceptedUnixMs,
      isEntitled: entitled.has(job),
    });
    for (const unit of job.units.values()) {
      if (unit.run !== undefined) {
        running.push(createRunning(unit, capacity, nowMs));
      } else if (!options.isBlocked(unit)) {
        waiting.push({
          unit,
          rank,
          waitedMs: nowMs - unit.waitingSinceMs,
          service: spec.service,
          step: unit.step,
          stepKey: unit.stepKey,
          count: unit.count,
          avoid: unit.failedOn,
        });
      }
    }
  }
  return { workers, waiting, running };
}

function createRunning(
  unit: Unit,
  capacity: WorkerView["capacity"],
  nowMs: number,
): RunningUnit<Unit> {
  const { run, step, job } = unit;
  const elapsedMs = nowMs - (run?.startedMs ?? nowMs);
  const share = measureShare(step.need, capacity) * unit.count;
  const keptShare = step.savesProgress ? SAVED_LOSS_SHARE : 1;
  return {
    unit,
    step,
    stepKey: unit.stepKey,
    workers: [...run?.members.values() ?? []].map(({ worker }) => worker),
    isEvictable: job.spec.priority > URGENT_PRIORITY &&
      run?.isClosing === false,
    lossMs: elapsedMs * share * keptShare,
  };
}

/** The most accelerators that a job's tasks hold at a time. */
function countAccelerators(job: LiveJob): number {
  return Math.max(
    ...job.spec.steps.map(({ count, need }) => count * need.accelerators),
  );
}

/** Urgent jobs that their organisation's guarantee covers, the oldest first. */
function findEntitled(
  jobs: readonly LiveJob[],
  guarantees: readonly OrganisationGuarantee[],
): ReadonlySet<LiveJob> {
  const left = new Map<OrganisationName, number>(
    guarantees.map(({ organisation, accelerators }) => [
      organisation,
      accelerators,
    ]),
  );
  const entitled = new Set<LiveJob>();
  const urgent = jobs.filter(({ spec }) => spec.priority === URGENT_PRIORITY)
    .sort((one, other) => one.rowVersion - other.rowVersion);
  for (const job of urgent) {
    const { organisation } = job.spec;
    if (organisation === undefined) continue;
    const remaining = left.get(organisation) ?? 0;
    const needed = countAccelerators(job);
    if (needed > remaining) continue;
    left.set(organisation, remaining - needed);
    entitled.add(job);
  }
  return entitled;
}

function measureRemainingWork(
  job: LiveJob,
  capacity: WorkerView["capacity"],
): number {
  const open = new Map<number, number>();
  for (const unit of job.units.values()) {
    const { step } = unit.address;
    open.set(step, (open.get(step) ?? 0) + unit.count);
  }
  return job.spec.steps.reduce((sum, step, number) => {
    const isOpened = open.has(number) || job.progress.isStepDone(0, number);
    const count = isOpened ? open.get(number) ?? 0 : step.count;
    return sum + measureWork([{ ...step, count }], capacity);
  }, 0);
}

function measureUsualWork(
  jobs: readonly LiveJob[],
  capacity: WorkerView["capacity"],
): ReadonlyMap<QueueName, number> {
  const sums = new Map<QueueName, { work: number; jobs: number }>();
  for (const { spec } of jobs) {
    const sum = sums.get(spec.queue) ?? { work: 0, jobs: 0 };
    sum.work += measureWork(spec.steps, capacity);
    sum.jobs++;
    sums.set(spec.queue, sum);
  }
  return new Map([...sums].map(([queue, sum]) => [queue, sum.work / sum.jobs]));
}
