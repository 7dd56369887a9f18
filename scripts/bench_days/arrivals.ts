/**
 * Seeded days of arrivals in the shape of the users' sheets: large gangs, urgent small gangs and
 * wide sets of single tasks, with wrong estimates, failures, hopeless jobs and cancels. The figures
 * are our own model of those sheets, rounded.
 */
import {
  brandId,
  drawExponential,
  nextInteger,
  type OrganisationName,
  type RackName,
  type Random,
  SeededRandom,
  type ServiceName,
} from "@coltsfootpond/common";
import type { CellJobId, CellJobSpec, StepSpec } from "@coltsfootpond/policy";

export const LOAD = {
  STEADY: "steady",
  URGENT_BURST: "urgent_burst",
  LARGE_BURST: "large_burst",
  DOMAIN_OUT: "domain_out",
  SLOW_WORKERS: "slow_workers",
  CANCELS: "cancels",
} as const;
export type Load = (typeof LOAD)[keyof typeof LOAD];

/** One kind of job. */
export interface JobKind {
  readonly name: string;
  readonly priority: number;
  readonly arrivalsPerS: number;
  readonly worth: number;
  readonly lateWorth: number;
  readonly stretch: number;
  readonly allowanceMs: number;
  readonly runMs: number;
  /** Spreads are standard deviations of logarithms. */
  readonly runSpread: number;
  readonly estimateSpread: number;
  readonly tasks: number;
  readonly taskSpread: number;
  readonly maximumTasks: number;
  readonly cpuMilli: number;
  readonly accelerators: readonly number[];
  readonly isGang: boolean;
  readonly rackBoundShare: number;
  readonly savesShare: number;
  readonly dataShare: number;
  readonly twoStepShare: number;
  readonly failureShare: number;
  readonly hopelessShare: number;
  readonly cancelShare: number;
}

/** A job and what a caller cannot know of it. */
export interface Arrival {
  readonly atMs: number;
  readonly kind: JobKind;
  readonly spec: CellJobSpec;
  /** True run of each task, by step. */
  readonly runsMs: readonly (readonly number[])[];
  readonly isHopeless: boolean;
  /** Share of its run after which the first run of each task fails; 1 when it does not. */
  readonly firstRunFailsAtShare: number;
  readonly cancelAfterMs: number | undefined;
}

/** When arrivals of a day come. */
export const WINDOW_MS = 60_000;
/** The middle of the day, in which what its name says happens. */
export const EVENT = { FROM_MS: 20_000, UNTIL_MS: 30_000 } as const;
export const ORGANISATIONS = ["a", "b", "c", "d"].map((name) =>
  brandId<OrganisationName>(name)
);
export const SERVICE = brandId<ServiceName>("service");
export const RACKS = [0, 1, 2, 3, 4].map((number) =>
  brandId<RackName>(`rack-${number}`)
);

const KINDS: readonly JobKind[] = [
  {
    name: "large",
    priority: 1,
    arrivalsPerS: 0.4,
    worth: 3,
    lateWorth: 1.2,
    stretch: 3,
    allowanceMs: 1_000,
    runMs: 8_000,
    runSpread: 0.35,
    estimateSpread: 0.7,
    tasks: 4.5,
    taskSpread: 0.7,
    maximumTasks: 24,
    cpuMilli: 52_000,
    accelerators: [1, 2, 4, 8, 8],
    isGang: true,
    rackBoundShare: 0.6,
    savesShare: 0.45,
    dataShare: 0,
    twoStepShare: 0,
    failureShare: 0.04,
    hopelessShare: 0.01,
    cancelShare: 0.05,
  },
  {
    name: "urgent",
    priority: 0,
    arrivalsPerS: 1.36,
    worth: 4,
    lateWorth: 0.8,
    stretch: 1.5,
    allowanceMs: 250,
    runMs: 2_400,
    runSpread: 0.5,
    estimateSpread: 0.35,
    tasks: 3,
    taskSpread: 0.7,
    maximumTasks: 18,
    cpuMilli: 15_000,
    accelerators: [1, 2, 4, 8, 8],
    isGang: true,
    rackBoundShare: 0.8,
    savesShare: 0,
    dataShare: 0,
    twoStepShare: 0,
    failureShare: 0.02,
    hopelessShare: 0,
    cancelShare: 0,
  },
  {
    name: "wide",
    priority: 2,
    arrivalsPerS: 0.45,
    worth: 1,
    lateWorth: 0.4,
    stretch: 3,
    allowanceMs: 3_000,
    runMs: 6_000,
    runSpread: 0.35,
    estimateSpread: 0.7,
    tasks: 13,
    taskSpread: 0.7,
    maximumTasks: 80,
    cpuMilli: 11_000,
    accelerators: [1],
    isGang: false,
    rackBoundShare: 0,
    savesShare: 0.45,
    dataShare: 0.1,
    twoStepShare: 0.3,
    failureShare: 0.01,
    hopelessShare: 0.02,
    cancelShare: 0.15,
  },
];

export const WORKERS_PER_RACK = 8;
export const WORKER_ACCELERATORS = 8;
const RACK_ACCELERATORS = WORKERS_PER_RACK * WORKER_ACCELERATORS;
const MS_PER_SECOND = 1_000;
const MEMORY_MIB = 50_000;
const BURST_FACTOR = 3;
const CANCEL_FACTOR = 3;
/** Tasks of one step differ by up to this share. */
const UNEVEN_SHARE = 0.2;
const LATEST_CANCEL_MS = 8_000;
const MAXIMUM_ATTEMPTS = 3;

/** A standard normal number (Box and Muller, 1958). */
function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Log-normal with the given mean. */
function drawAround(random: Random, mean: number, spread: number): number {
  return mean * Math.exp(spread * drawNormal(random) - spread * spread / 2);
}

function getRate(kind: JobKind, load: Load, atMs: number): number {
  const isEvent = atMs >= EVENT.FROM_MS && atMs < EVENT.UNTIL_MS;
  const isBurst = load === LOAD.URGENT_BURST && kind.priority === 0 ||
    load === LOAD.LARGE_BURST && kind.priority === 1;
  return kind.arrivalsPerS * (isEvent && isBurst ? BURST_FACTOR : 1);
}

function createStep(
  random: Random,
  kind: JobKind,
  number: number,
): { readonly step: StepSpec; readonly runsMs: readonly number[] } {
  const count = Math.max(
    1,
    Math.min(
      kind.maximumTasks,
      Math.round(drawAround(random, kind.tasks, kind.taskSpread)),
    ),
  );
  const runMs = drawAround(random, kind.runMs, kind.runSpread);
  const has = (share: number) => random.next() < share;
  const isGang = kind.isGang && count > 1;
  const accelerators =
    kind.accelerators[nextInteger(random, kind.accelerators.length)] ?? 1;
  const fitsRack = count * accelerators <= RACK_ACCELERATORS;
  const step: StepSpec = {
    count,
    need: { cpuMilli: kind.cpuMilli, memoryMib: MEMORY_MIB, accelerators },
    estimateMs: Math.round(
      runMs * Math.exp(kind.estimateSpread * drawNormal(random)),
    ),
    after: number === 0 ? [] : [number - 1],
    savesProgress: has(kind.savesShare),
    isGang,
    isRackBound: isGang && fitsRack && has(kind.rackBoundShare),
    requiredLabel: undefined,
    dataRack: has(kind.dataShare)
      ? RACKS[nextInteger(random, RACKS.length - 1)]
      : undefined,
    maximumPerWorker: undefined,
    isPersistent: false,
    isFiller: false,
  };
  const runsMs = Array.from(
    { length: isGang ? 1 : count },
    () => runMs * (1 + UNEVEN_SHARE * (2 * random.next() - 1)),
  );
  return { step, runsMs };
}

function createArrival(
  random: Random,
  kind: JobKind,
  load: Load,
  atMs: number,
): Arrival {
  const stepCount = random.next() < kind.twoStepShare ? 2 : 1;
  const steps = Array.from(
    { length: stepCount },
    (_, number) => createStep(random, kind, number),
  );
  const isCancelled = random.next() <
    kind.cancelShare * (load === LOAD.CANCELS ? CANCEL_FACTOR : 1);
  const jobId = Array.from(
    { length: 16 },
    () => nextInteger(random, 16).toString(16),
  ).join("") as CellJobId;
  return {
    atMs,
    kind,
    spec: {
      jobId,
      queue: brandId(kind.name),
      service: SERVICE,
      organisation: ORGANISATIONS[nextInteger(random, ORGANISATIONS.length)],
      priority: kind.priority,
      maximumAttempts: MAXIMUM_ATTEMPTS,
      stretch: kind.stretch,
      allowanceMs: kind.allowanceMs,
      acceptedUnixMs: atMs,
      payload: "",
      steps: steps.map(({ step }) => step),
      recurrence: undefined,
    },
    runsMs: steps.map(({ runsMs }) => runsMs),
    isHopeless: random.next() < kind.hopelessShare,
    firstRunFailsAtShare: random.next() < kind.failureShare ? random.next() : 1,
    cancelAfterMs: isCancelled ? random.next() * LATEST_CANCEL_MS : undefined,
  };
}

/** All arrivals of a day in order of time. */
export function createArrivals(load: Load, seed: number): readonly Arrival[] {
  const random = SeededRandom.create(seed);
  const arrivals: Arrival[] = [];
  for (const kind of KINDS) {
    let atMs = 0;
    for (;;) {
      atMs += drawExponential(
        random,
        MS_PER_SECOND / getRate(kind, load, atMs),
      );
      if (atMs >= WINDOW_MS) break;
      arrivals.push(createArrival(random, kind, load, atMs));
    }
  }
  return arrivals.sort((one, other) => one.atMs - other.atMs);
}
