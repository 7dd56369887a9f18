/**
 * Summarises the load of each service, so that entries can forecast when a job that is submitted
 * now would end. Waiting work is counted by the value per unit of work of its job, because the
 * planner orders jobs by it (`job_rank.ts`), not by priority alone. Services without a backlog are
 * left out, so that the summary of an idle cell does not change.
 */
import type { ServiceName } from "@coltsfootpond/common";
import {
  addCellResources,
  findLargestCapacity,
  getCountedNeed,
} from "../fit.ts";
import { computeWorkerShare } from "../job_rank.ts";
import type {
  CellResources,
  QueueName,
  StepSpec,
  WorkerView,
} from "../types.ts";
import {
  computeRemainingMs,
  type RunProgress,
} from "../forecast/remaining_time.ts";

/** Four levels to each doubling: jobs of neighbouring priorities differ by a factor of about 1.7. */
const LEVELS_PER_DOUBLING = 4;
/** Level of work that a guarantee covers; the planner places it before all other work. */
export const GUARANTEED_LEVEL = 1_000;
/**
 * A service is listed when its waiting work would keep all of its workers busy for this long. Less
 * makes no job miss its objective by itself, as each has an allowance for waiting.
 */
const BACKLOG_THRESHOLD_MS = 500;
/**
 * Smallest assumed share of a service that works off its backlog. The measured share is low for
 * moments, for example after workers have come back.
 */
const MINIMUM_BUSY_SHARE = 0.75;
/** The same for single tasks. Gangs leave about this share of a full service in gaps. */
const MINIMUM_SINGLE_TASK_SHARE = 0.1;
/** Largest number of accelerators of one task that has a slot count of its own. */
const MAXIMUM_SLOT_ACCELERATORS = 8;
const SIGNIFICANT_DIGITS = 2;

/** Work in worker-milliseconds, or its rate per millisecond, of jobs of one level of density. */
export type LevelWork = readonly [level: number, work: number];

/** Load of one service with a backlog. Amounts of work are rounded to two digits. */
export interface ServiceLoad {
  readonly service: ServiceName;
  /** Largest capacity of a worker of the cell; a worker-millisecond is a millisecond of all of it. */
  readonly reference: CellResources;
  readonly free: CellResources;
  /** Largest number of tasks of 1, 2, … accelerators that fit on the workers. */
  readonly slots: readonly number[];
  /** Accelerators that only urgent jobs may take. */
  readonly headroomAccelerators: number;
  /** Whether units run that urgent jobs may evict. */
  readonly hasEvictableRuns: boolean;
  /** Work that the workers in use do in a millisecond, in worker-milliseconds. */
  readonly rate: number;
  /** Expected remaining work of the runs. */
  readonly runningWorkMs: number;
  /** Waiting units. Those of jobs that have lost all value are left out, as they run last. */
  readonly waiting: readonly LevelWork[];
  /** Work of jobs submitted lately, per millisecond. */
  readonly arriving: readonly LevelWork[];
  /** The part of `rate` that single tasks get, beside gangs and in the gaps between them. */
  readonly singleTaskRate: number;
  /** The part of `waiting` that is single tasks. */
  readonly waitingSingleTasks: readonly LevelWork[];
}

export interface QueueLoad {
  readonly queue: QueueName;
  readonly meanWorkMs: number;
  /** Learned ratio of real to estimated duration. */
  readonly durationRatio: number;
}

/** The summary that the lease holder publishes. */
export interface LoadForecast {
  readonly services: readonly ServiceLoad[];
  readonly queues: readonly QueueLoad[];
}

/** Work of one waiting unit or of one submitted job, with the learned ratio applied. */
export interface WorkItem {
  readonly service: ServiceName;
  readonly level: number;
  readonly workMs: number;
  /** Tasks that start one by one; false for gangs. */
  readonly isSingleTasks: boolean;
}

/** One running unit. */
export interface RunningItem {
  readonly service: ServiceName;
  readonly step: StepSpec;
  readonly count: number;
  readonly isEvictable: boolean;
  readonly progress: RunProgress;
}

export interface LoadInput {
  readonly workers: readonly WorkerView[];
  readonly urgentHeadroom: ReadonlyMap<ServiceName, number>;
  readonly waiting: readonly WorkItem[];
  readonly running: readonly RunningItem[];
  /** Jobs submitted within the last `arrivalWindowMs`. */
  readonly arrivals: readonly WorkItem[];
  readonly arrivalWindowMs: number;
}

/** Level of a job by its value per worker-millisecond; higher ones are placed first. */
export function computeLevel(density: number): number {
  if (density <= 0) return -GUARANTEED_LEVEL;
  const level = Math.floor(LEVELS_PER_DOUBLING * Math.log2(density));
  return Math.max(1 - GUARANTEED_LEVEL, Math.min(GUARANTEED_LEVEL - 1, level));
}

/** Lowest value per worker-millisecond of a level. */
export function computeLevelDensity(level: number): number {
  return 2 ** (level / LEVELS_PER_DOUBLING);
}

/** Loads of the services that have a backlog, in the order of their names. */
export function summariseLoad(input: LoadInput): readonly ServiceLoad[] {
  const services = [...new Set(input.waiting.map(({ service }) => service))];
  return services.sort().flatMap((service) =>
    summariseService(service, input) ?? []
  );
}

function summariseService(
  service: ServiceName,
  input: LoadInput,
): ServiceLoad | undefined {
  const ofService = (item: { readonly service: ServiceName }) =>
    item.service === service;
  const workers = input.workers.filter(ofService);
  // Of all services, as the densities of the planner are.
  const reference = findLargestCapacity(input.workers);
  if (reference === undefined) return undefined;
  const waiting = input.waiting.filter(ofService);
  const size = sum(
    workers,
    ({ capacity }) => computeWorkerShare(capacity, reference),
  );
  const waitingMs = sum(waiting, ({ workMs }) => workMs);
  if (size <= 0 || waitingMs / size < BACKLOG_THRESHOLD_MS) return undefined;
  const running = input.running.filter(ofService).map((run) => ({
    ...run,
    share: run.count *
      computeWorkerShare(getCountedNeed(run.step), reference),
  }));
  const busy = sum(running, ({ share }) => share);
  const singleTasks = running.filter(({ step }) => !step.isGang);
  const busySingleTasks = sum(singleTasks, ({ share }) => share);
  return {
    service,
    reference,
    free: workers.reduce(
      (total, { free }) => addCellResources(total, atLeastNothing(free)),
      { cpuMilli: 0, memoryMib: 0, accelerators: 0 },
    ),
    slots: countSlots(workers, reference),
    headroomAccelerators: Math.floor(input.urgentHeadroom.get(service) ?? 0),
    hasEvictableRuns: running.some(({ isEvictable }) => isEvictable),
    rate: round(Math.min(size, Math.max(busy, size * MINIMUM_BUSY_SHARE))),
    runningWorkMs: round(
      sum(
        running,
        ({ share, progress }) => share * computeRemainingMs(progress),
      ),
    ),
    waiting: sumByLevel(waiting, 1),
    arriving: sumByLevel(
      input.arrivals.filter(ofService),
      input.arrivalWindowMs,
    ),
    singleTaskRate: round(
      Math.max(busySingleTasks, size * MINIMUM_SINGLE_TASK_SHARE),
    ),
    waitingSingleTasks: sumByLevel(
      waiting.filter(({ isSingleTasks }) => isSingleTasks),
      1,
    ),
  };
}

/** An upper bound for each size of task; racks, labels and processor time are not considered. */
function countSlots(
  workers: readonly WorkerView[],
  { accelerators }: CellResources,
): readonly number[] {
  const sizes = Math.min(MAXIMUM_SLOT_ACCELERATORS, accelerators);
  return Array.from(
    { length: sizes },
    (_, index) =>
      sum(
        workers,
        ({ free }) => Math.floor(Math.max(0, free.accelerators) / (index + 1)),
      ),
  );
}

/** The largest number of accelerators that the tasks of one step use together. */
export function countWidestStep(steps: readonly StepSpec[]): number {
  return Math.max(
    0,
    ...steps.map(({ count, need }) => count * need.accelerators),
  );
}

/**
 * In how many waves the tasks that become due first may run on the capacity that is free now;
 * infinite if one of them certainly does not fit, or not all tasks of a gang.
 */
export function countWaves(
  steps: readonly StepSpec[],
  load: ServiceLoad,
  mayUseHeadroom: boolean,
): number {
  const headroom = mayUseHeadroom ? 0 : load.headroomAccelerators;
  const accelerators = Math.max(0, load.free.accelerators - headroom);
  const free = { ...load.free, accelerators };
  const waves = steps.filter(({ after }) => after.length === 0).map((step) => {
    const need = getCountedNeed(step);
    const fitting = Math.min(
      load.slots[need.accelerators - 1] ?? Infinity,
      countWhole(free.cpuMilli, need.cpuMilli),
      countWhole(free.memoryMib, need.memoryMib),
      countWhole(free.accelerators, need.accelerators),
    );
    if (fitting < (step.isGang ? step.count : 1)) return Infinity;
    return step.count / fitting;
  });
  // Steps that are due together share the capacity.
  const sumOfWaves = sum(waves, (count) => count);
  return sumOfWaves <= 1 ? 1 : Math.ceil(sumOfWaves);
}

function countWhole(available: number, needed: number): number {
  return needed <= 0 ? Infinity : Math.floor(available / needed);
}

function sumByLevel(
  items: readonly WorkItem[],
  windowMs: number,
): readonly LevelWork[] {
  const sums = new Map<number, number>();
  for (const { level, workMs } of items) {
    sums.set(level, (sums.get(level) ?? 0) + workMs / windowMs);
  }
  return [...sums].sort(([left], [right]) => left - right).map((
    [level, work],
  ) => [level, round(work)] as const);
}

function atLeastNothing(resources: CellResources): CellResources {
  return {
    cpuMilli: Math.max(0, resources.cpuMilli),
    memoryMib: Math.max(0, resources.memoryMib),
    accelerators: Math.max(0, resources.accelerators),
  };
}

function round(value: number): number {
  return Number(value.toPrecision(SIGNIFICANT_DIGITS));
}

function sum<Item>(
  items: readonly Item[],
  getValue: (item: Item) => number,
): number {
  return items.reduce((total, item) => total + getValue(item), 0);
}
