/** Random jobs for the model check of the cell. */
import { nextInteger, type Random } from "@coltsfootpond/common";
import type { CellJobSpec, StepSpec } from "@coltsfootpond/policy";
import { createSpec, createStep } from "../test_fixtures.ts";

/** A job, and whether its tasks end only once the faults are over. */
export interface RandomJob {
  readonly spec: CellJobSpec;
  readonly isEndless: boolean;
}

const MAXIMUM_ATTEMPTS = 1_000;
const FULL_WORKER_ACCELERATORS = 8;
/** Gangs must fit on the workers together. */
const MAXIMUM_COUNT = 4;
const ESTIMATE_MS = 1_000;

function formatJobId(number: number): string {
  return number.toString(16).padStart(16, "0");
}

/** Tasks of one worker each or small ones, so that some jobs wait for others. */
function drawNeed(random: Random): StepSpec["need"] {
  const accelerators = random.next() < 0.3 ? FULL_WORKER_ACCELERATORS : 1;
  return { cpuMilli: 1_000, memoryMib: 1_000, accelerators };
}

/** A job of one or two steps, the second of which waits for the first. */
export function createRandomJob(random: Random, number: number): RandomJob {
  const first = createStep({
    count: 1 + nextInteger(random, MAXIMUM_COUNT),
    isGang: random.next() < 0.5,
    need: drawNeed(random),
  });
  const steps = random.next() < 0.5
    ? [first]
    : [first, createStep({ after: [0], count: 2 })];
  return {
    spec: createSpec(formatJobId(number), {
      steps,
      priority: nextInteger(random, 3),
      maximumAttempts: MAXIMUM_ATTEMPTS,
    }),
    isEndless: random.next() < 0.4,
  };
}

/** A job whose tasks crash each worker that starts them: single tasks or a gang. */
export function createCrashingJob(random: Random, number: number): RandomJob {
  const step = createStep({
    count: 1 + nextInteger(random, 2),
    isGang: random.next() < 0.4,
    need: drawNeed(random),
  });
  const spec = createSpec(formatJobId(number), {
    steps: [step],
    priority: 1 + nextInteger(random, 2),
    maximumAttempts: MAXIMUM_ATTEMPTS,
  });
  return { spec, isEndless: true };
}

/** An urgent job that takes whole workers, so that running jobs are evicted for it. */
export function createUrgentJob(
  random: Random,
  number: number,
  nowUnixMs: number,
): RandomJob {
  const step = createStep({
    count: 1 + nextInteger(random, MAXIMUM_COUNT),
    isGang: random.next() < 0.3,
    need: {
      cpuMilli: 1_000,
      memoryMib: 1_000,
      accelerators: FULL_WORKER_ACCELERATORS,
    },
    estimateMs: ESTIMATE_MS,
  });
  return {
    spec: createSpec(formatJobId(number), {
      steps: [step],
      priority: 0,
      maximumAttempts: MAXIMUM_ATTEMPTS,
      acceptedUnixMs: nowUnixMs,
    }),
    isEndless: false,
  };
}
