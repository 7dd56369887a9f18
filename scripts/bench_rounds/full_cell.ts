/**
 * A cell of any size whose workers are full while jobs wait, the load under which planning a round
 * takes longest. The mix of jobs is a rounded model of the platform's largest data sheet.
 */
import {
  brandId,
  nextInteger,
  type Random,
  SeededRandom,
} from "@coltsfootpond/common";
import {
  type PlanInput,
  RANK_TIER,
  type RunningUnit,
  type StepSpec,
  type WaitingUnit,
  type WorkerView,
} from "@coltsfootpond/policy";

const WORKERS_PER_RACK = 12;
const WAITING_PER_WORKER = 0.6;
const DOMAINS = 5;
const CAPACITY = { cpuMilli: 128_000, memoryMib: 524_288, accelerators: 8 };
const NO_RESOURCES = { cpuMilli: 0, memoryMib: 0, accelerators: 0 };

/** Urgent gangs, large gangs and wide sets of single tasks. */
const KINDS = [
  { share: 0.71, priority: 0, tasks: 5, cpuMilli: 15_000, isGang: true },
  { share: 0.18, priority: 1, tasks: 13, cpuMilli: 52_000, isGang: true },
  { share: 0.11, priority: 2, tasks: 38, cpuMilli: 11_000, isGang: false },
] as const;
const GANG_ACCELERATORS = [1, 2, 4, 8, 8] as const;

export interface FullCellOptions {
  readonly workers: number;
  readonly seed: number;
}

/** Input of one round of a full cell; the same for the same options. */
export function createFullCell(
  { workers: workerCount, seed }: FullCellOptions,
): PlanInput<string> {
  const random = SeededRandom.create(seed);
  const workers = Array.from(
    { length: workerCount },
    (_, number) => createWorker(number),
  );
  const waiting = Array.from(
    { length: Math.ceil(workerCount * WAITING_PER_WORKER) },
    (_, number) => createWaiting(`waiting-${number}`, random),
  );
  const running = workers.map(({ worker }): RunningUnit<string> => ({
    unit: `running-${worker}`,
    organisation: undefined,
    step: createStep(1, CAPACITY, false),
    stepKey: `running-${worker}`,
    workers: [worker],
    isEvictable: random.next() < 0.5,
    evictionCost: random.next(),
  }));
  return { workers, waiting, running };
}

function createWorker(number: number): WorkerView {
  return {
    worker: brandId(`worker-${number}`),
    service: brandId("service"),
    failureDomain: brandId(`domain-${number % DOMAINS}`),
    rack: brandId(`rack-${Math.floor(number / WORKERS_PER_RACK)}`),
    labels: new Set(),
    capacity: CAPACITY,
    free: { ...CAPACITY, accelerators: 0 },
    releasing: NO_RESOURCES,
    slowness: 1,
    speed: 1,
    tasksByStep: new Map(),
  };
}

function createWaiting(unit: string, random: Random): WaitingUnit<string> {
  const draw = random.next();
  const kind = draw < KINDS[0].share
    ? KINDS[0]
    : draw < KINDS[0].share + KINDS[1].share
    ? KINDS[1]
    : KINDS[2];
  const count = 1 + nextInteger(random, 2 * kind.tasks);
  const accelerators = kind.isGang
    ? GANG_ACCELERATORS[nextInteger(random, GANG_ACCELERATORS.length)] ?? 1
    : 1;
  const need = {
    cpuMilli: kind.cpuMilli,
    memoryMib: CAPACITY.memoryMib / CAPACITY.accelerators * accelerators,
    accelerators,
  };
  return {
    unit,
    organisation: undefined,
    service: brandId("service"),
    step: createStep(count, need, kind.isGang),
    stepKey: unit,
    count: kind.isGang ? count : 1,
    avoid: new Set(),
    rank: { tier: RANK_TIER.ORDINARY, density: random.next() },
    allowRemote: random.next() < 0.3,
    evictionGain: kind.priority === 0 ? random.next() : 0,
    displacementCost: kind.priority === 0 ? undefined : 0,
    mayUseHeadroom: true,
  };
}

function createStep(
  count: number,
  need: StepSpec["need"],
  isGang: boolean,
): StepSpec {
  return {
    count,
    need,
    estimateMs: 5_000,
    after: [],
    savesProgress: false,
    isGang,
    isRackBound: isGang,
    requiredLabel: undefined,
    dataRack: undefined,
    maximumPerWorker: undefined,
    isPersistent: false,
    isFiller: false,
  };
}
