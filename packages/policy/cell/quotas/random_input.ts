/** Random rounds without quotas and weights, for the test that plans stay as they were. */
import {
  nextInteger,
  type RackName,
  SeededRandom,
  type WorkerName,
} from "@coltsfootpond/common";
import type { RunningUnit } from "../eviction.ts";
import type { PlanInput, WaitingUnit } from "../plan_round.ts";
import {
  A,
  ACCELERATORS,
  B,
  createRunning,
  createStepOf,
  createWaiting,
  createWorkers,
} from "./quota_fixtures.ts";

const WORKERS = 12;
const WORKERS_PER_RACK = 4;
const WAITING = 24;
const TIERS = 3;

/** A round of a partly full cell: gangs and single tasks, all tiers, and urgent units. */
export function createRandomInput(seed: number): PlanInput<string> {
  const random = SeededRandom.create(seed);
  const names = Array.from({ length: WORKERS }, (_, number) => `w${number}`);
  const running: RunningUnit<string>[] = names.flatMap((name) => {
    const accelerators = nextInteger(random, ACCELERATORS + 1);
    if (accelerators === 0) return [];
    return [
      createRunning(`r-${name}`, A, createStepOf(accelerators), [name], {
        isEvictable: random.next() < 0.7,
        evictionCost: random.next(),
      }),
    ];
  });
  const waiting: WaitingUnit<string>[] = Array.from(
    { length: WAITING },
    (_, number) => {
      const step = createStepOf(1 + nextInteger(random, ACCELERATORS), {
        count: 1 + nextInteger(random, 4),
        isGang: random.next() < 0.5,
        isRackBound: random.next() < 0.5,
      });
      const isUrgent = random.next() < 0.3;
      return createWaiting(`u-${number}`, random.next() < 0.5 ? A : B, step, {
        rank: { tier: nextInteger(random, TIERS), density: random.next() },
        allowRemote: random.next() < 0.5,
        evictionGain: isUrgent ? 2 * random.next() : 0,
        displacementCost: isUrgent ? undefined : random.next(),
        mayUseHeadroom: isUrgent,
        waitedMs: nextInteger(random, 10_000),
      });
    },
  );
  const workers = createWorkers(names, running).map((view, number) => ({
    ...view,
    worker: view.worker as WorkerName,
    rack: `rack-${Math.floor(number / WORKERS_PER_RACK)}` as RackName,
  }));
  const [{ service }] = workers as [typeof workers[number]];
  return {
    workers,
    waiting,
    running,
    urgentHeadroom: new Map([[service, nextInteger(random, ACCELERATORS)]]),
  };
}
