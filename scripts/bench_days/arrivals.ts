/**
 * Generates the job arrivals of a seeded "day", a simulated window of one minute: large gangs,
 * urgent small gangs and wide sets of single tasks, with wrong estimates, failures, jobs that always
 * fail and cancellations. The figures are a rounded model of the platform's data sheets.
 */
import {
  brandId,
  drawExponential,
  nextInteger,
  type Random,
  SeededRandom,
  type ServiceName,
} from "@coltsfootpond/common";
import {
  ACCELERATORS_PER_WORKER,
  type Deployment,
  DEPLOYMENTS,
  listRacks,
} from "./deployments.ts";
import type { CellJobId, CellJobSpec, StepSpec } from "@coltsfootpond/policy";

/** The workload scenarios, by the names that the flag `--load` accepts. */
export const LOAD = {
  STEADY: "steady",
  URGENT_BURST: "urgent_burst",
  LARGE_BURST: "large_burst",
  /** Both at once, while the wide jobs go on. */
  TWO_BURSTS: "two_bursts",
  DOMAIN_OUT: "domain_out",
  SLOW_WORKERS: "slow_workers",
  CANCELS: "cancels",
} as const;
export type Load = (typeof LOAD)[keyof typeof LOAD];

/** The distribution that jobs of one kind are drawn from. Fields named `...Share` are 0 to 1. */
export interface JobKind {
  readonly name: string;
  readonly priority: number;
  readonly arrivalsPerS: number;
  /** Value of a job of mean work that meets its objective, and of one that ends late. */
  readonly value: number;
  readonly lateValue: number;
  /** The time objective is `stretch` times the critical path, plus `allowanceMs`. */
  readonly stretch: number;
  readonly allowanceMs: number;
  /** Mean run time of a task. */
  readonly runMs: number;
  /** Each spread is the standard deviation of the logarithm. */
  readonly runSpread: number;
  readonly estimateSpread: number;
  /** Mean number of tasks of a step. */
  readonly tasks: number;
  readonly taskCountSpread: number;
  readonly maximumTasks: number;
  readonly cpuMilli: number;
  /** The numbers of accelerators per task to draw from, all equally likely. */
  readonly accelerators: readonly number[];
  readonly isGang: boolean;
  readonly rackBoundShare: number;
  readonly savesProgressShare: number;
  readonly dataRackShare: number;
  readonly twoStepShare: number;
  readonly failureShare: number;
  readonly alwaysFailsShare: number;
  readonly cancelShare: number;
}

/** A job with its actual run times and events, which its submitter cannot foresee. */
export interface Arrival {
  readonly atMs: number;
  readonly kind: JobKind;
  readonly spec: CellJobSpec;
  /** Actual run times at full speed, by step: one for each task, or a single one for a gang. */
  readonly runsMs: readonly (readonly number[])[];
  /** Every run of its tasks fails. */
  readonly alwaysFails: boolean;
  /** Share of its run time after which the first run of each task fails; 1 when it does not. */
  readonly firstRunFailsAtShare: number;
  readonly cancelAfterMs: number | undefined;
}

/** Jobs arrive during this time from the start of a day. */
export const ARRIVAL_WINDOW_MS = 60_000;
/** The part of a day in which the disturbance that a scenario is named after takes place. */
export const DISTURBANCE = { FROM_MS: 20_000, UNTIL_MS: 30_000 } as const;
export const SERVICE = brandId<ServiceName>("service");
/** What the kinds have in common in all deployments. */
type KindShape = Omit<JobKind, keyof Deployment["kinds"]["urgent"]> & {
  readonly name: keyof Deployment["kinds"];
};

const KINDS: readonly KindShape[] = [
  {
    name: "large",
    priority: 1,
    value: 3,
    lateValue: 1.2,
    stretch: 3,
    runSpread: 0.35,
    taskCountSpread: 0.7,
    cpuMilli: 52_000,
    accelerators: [1, 2, 4, 8, 8],
    isGang: true,
    rackBoundShare: 0.6,
    savesProgressShare: 0.45,
    dataRackShare: 0,
    twoStepShare: 0,
    failureShare: 0.04,
    alwaysFailsShare: 0.01,
    cancelShare: 0.05,
  },
  {
    name: "urgent",
    priority: 0,
    value: 4,
    lateValue: 0.8,
    stretch: 1.5,
    runSpread: 0.5,
    taskCountSpread: 0.7,
    cpuMilli: 15_000,
    accelerators: [1, 2, 4, 8, 8],
    isGang: true,
    rackBoundShare: 0.8,
    savesProgressShare: 0,
    dataRackShare: 0,
    twoStepShare: 0,
    failureShare: 0.02,
    alwaysFailsShare: 0,
    cancelShare: 0,
  },
  {
    name: "wide",
    priority: 2,
    value: 1,
    lateValue: 0.4,
    stretch: 3,
    runSpread: 0.35,
    taskCountSpread: 0.7,
    cpuMilli: 11_000,
    accelerators: [1],
    isGang: false,
    rackBoundShare: 0,
    savesProgressShare: 0.45,
    dataRackShare: 0.1,
    twoStepShare: 0.3,
    failureShare: 0.01,
    alwaysFailsShare: 0.02,
    cancelShare: 0.15,
  },
];

const MS_PER_SECOND = 1_000;
const TASK_MEMORY_MIB = 50_000;
const BURST_FACTOR = 3;
const CANCEL_FACTOR = 3;
/** Run times of one step's tasks differ from its run time by up to this share. */
const RUN_TIME_VARIATION = 0.2;
const MAXIMUM_CANCEL_DELAY_MS = 8_000;
const MAXIMUM_ATTEMPTS = 3;

/** Draws from the standard normal distribution (Box and Muller, 1958). */
function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** Draws from the log-normal distribution with the given mean. */
function drawLogNormal(random: Random, mean: number, spread: number): number {
  return mean * Math.exp(spread * drawNormal(random) - spread * spread / 2);
}

function getArrivalsPerS(kind: JobKind, load: Load, atMs: number): number {
  const isDisturbed = atMs >= DISTURBANCE.FROM_MS &&
    atMs < DISTURBANCE.UNTIL_MS;
  const isBurst = kind.priority === 0 &&
      (load === LOAD.URGENT_BURST || load === LOAD.TWO_BURSTS) ||
    kind.priority === 1 &&
      (load === LOAD.LARGE_BURST || load === LOAD.TWO_BURSTS);
  return kind.arrivalsPerS * (isDisturbed && isBurst ? BURST_FACTOR : 1);
}

function createStep(
  random: Random,
  kind: JobKind,
  number: number,
  deployment: Deployment,
): { readonly step: StepSpec; readonly runsMs: readonly number[] } {
  const count = Math.max(
    1,
    Math.min(
      kind.maximumTasks,
      Math.round(drawLogNormal(random, kind.tasks, kind.taskCountSpread)),
    ),
  );
  const runMs = drawLogNormal(random, kind.runMs, kind.runSpread);
  const drawBoolean = (share: number) => random.next() < share;
  const isGang = kind.isGang && count > 1;
  const accelerators =
    kind.accelerators[nextInteger(random, kind.accelerators.length)] ?? 1;
  const fitsRack = count * accelerators <=
    deployment.workersPerRack * ACCELERATORS_PER_WORKER;
  const racks = listRacks(deployment);
  const step: StepSpec = {
    count,
    need: { cpuMilli: kind.cpuMilli, memoryMib: TASK_MEMORY_MIB, accelerators },
    estimateMs: Math.round(
      runMs * Math.exp(kind.estimateSpread * drawNormal(random)),
    ),
    after: number === 0 ? [] : [number - 1],
    savesProgress: drawBoolean(kind.savesProgressShare),
    isGang,
    isRackBound: isGang && fitsRack && drawBoolean(kind.rackBoundShare),
    requiredLabel: undefined,
    dataRack: drawBoolean(kind.dataRackShare)
      ? racks[nextInteger(random, racks.length - 1)]
      : undefined,
    maximumPerWorker: undefined,
    isPersistent: false,
    isFiller: false,
  };
  const runsMs = Array.from(
    { length: isGang ? 1 : count },
    () => runMs * (1 + RUN_TIME_VARIATION * (2 * random.next() - 1)),
  );
  return { step, runsMs };
}

function createArrival(
  random: Random,
  kind: JobKind,
  load: Load,
  atMs: number,
  deployment: Deployment,
): Arrival {
  const stepCount = random.next() < kind.twoStepShare ? 2 : 1;
  const steps = Array.from(
    { length: stepCount },
    (_, number) => createStep(random, kind, number, deployment),
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
      organisation: deployment
        .organisations[nextInteger(random, deployment.organisations.length)],
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
    alwaysFails: random.next() < kind.alwaysFailsShare,
    firstRunFailsAtShare: random.next() < kind.failureShare ? random.next() : 1,
    cancelAfterMs: isCancelled
      ? random.next() * MAXIMUM_CANCEL_DELAY_MS
      : undefined,
  };
}

/** All arrivals of a day in order of arrival time; the same load and seed give the same list. */
export function createArrivals(
  load: Load,
  seed: number,
  deployment: Deployment = DEPLOYMENTS.small,
): readonly Arrival[] {
  const random = SeededRandom.create(seed);
  const arrivals: Arrival[] = [];
  for (const shape of KINDS) {
    const kind = { ...shape, ...deployment.kinds[shape.name] };
    let atMs = 0;
    for (;;) {
      atMs += drawExponential(
        random,
        MS_PER_SECOND / getArrivalsPerS(kind, load, atMs),
      );
      if (atMs >= ARRIVAL_WINDOW_MS) break;
      arrivals.push(createArrival(random, kind, load, atMs, deployment));
    }
  }
  return arrivals.sort((one, other) => one.atMs - other.atMs);
}
