import { SeededRandom, type WorkerName } from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import {
  classifySpeed,
  computeClassSpeed,
  USUAL_CLASS,
} from "./speed_classes.ts";
import { SpeedEstimates } from "./speed_estimates.ts";

const WORKERS = 60;
const SPEEDS = [0.6, 1, 1, 1.6] as const;
/** Steps that begin in a second, and the tasks of each. */
const STEPS_PER_S = 1;
const TASKS = 20;
const TASK_MS = 6_000;

interface Play {
  readonly seed: number;
  /** Standard deviation of the logarithm of the tasks' lengths. */
  readonly noise: number;
  /** The estimates of the steps are wrong by up to this factor. */
  readonly estimateError: number;
  readonly getSpeed: (worker: number, atMs: number) => number;
  readonly durationMs: number;
  /** Workers over which the tasks of one step are spread; default one for each task. */
  readonly workersPerStep?: number;
  /** Share of the tasks that run on the slowest quarter of the workers; default as many as on others. */
  readonly slowShare?: number;
}

function drawNormal(random: SeededRandom): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) *
    Math.cos(2 * Math.PI * random.next());
}

interface PlayedWorker {
  /** The speed of its class. */
  readonly speed: number;
  /** Number of its tasks that the last report listed. */
  readonly reported: number;
}

/** Reports each running task once a second. */
function play(options: Play): readonly PlayedWorker[] {
  const random = SeededRandom.create(options.seed);
  const estimates = SpeedEstimates.create();
  const classes = new Map<number, number>();
  interface Task {
    readonly key: string;
    readonly step: string;
    readonly worker: number;
    readonly lengthMs: number;
    progressMs: number;
    percent: number;
  }
  let tasks: Task[] = [];
  for (let atMs = 0; atMs < options.durationMs; atMs += 1_000) {
    for (let step = 0; step < STEPS_PER_S; step++) {
      const stepMs = TASK_MS * options.estimateError ** (2 * random.next() - 1);
      const used = Array.from(
        { length: options.workersPerStep ?? TASKS },
        () => {
          const worker = Math.floor(random.next() * WORKERS);
          return random.next() < (options.slowShare ?? 0)
            ? worker - worker % SPEEDS.length
            : worker;
        },
      );
      for (let index = 0; index < TASKS; index++) {
        tasks.push({
          key: `${atMs}.${step}.${index}`,
          step: `${atMs}.${step}`,
          worker: used[index % used.length]!,
          lengthMs: stepMs * Math.exp(options.noise * drawNormal(random)),
          progressMs: 0,
          percent: 0,
        });
      }
    }
    for (const task of tasks) {
      const before = task.percent;
      task.progressMs += 1_000 * options.getSpeed(task.worker, atMs);
      task.percent = Math.min(
        100,
        Math.floor(100 * task.progressMs / task.lengthMs),
      );
      const progress = task.percent - before;
      if (task.percent === 100) continue;
      const isUpperBound = progress < 5;
      estimates.add({
        worker: `w${task.worker}` as WorkerName,
        incarnationStartUnixMs: 1,
        stepKey: task.step,
        runKey: task.key,
        ratePerMs: (progress + Number(isUpperBound)) / 100 / 1_000,
        isUpperBound,
      }, atMs);
    }
    tasks = tasks.filter(({ percent }) => percent < 100);
    const current = estimates.estimate(atMs);
    for (let worker = 0; worker < WORKERS; worker++) {
      const estimate = current.get(`w${worker}` as WorkerName);
      if (estimate === undefined) continue;
      const present = classes.get(worker) ?? USUAL_CLASS;
      classes.set(worker, classifySpeed(estimate, present));
    }
  }
  return Array.from(
    { length: WORKERS },
    (_, worker) => ({
      speed: computeClassSpeed(classes.get(worker) ?? USUAL_CLASS),
      reported: tasks.filter((task) => task.worker === worker).length,
    }),
  );
}

function getMixedSpeed(worker: number): number {
  return SPEEDS[worker % SPEEDS.length]!;
}

/** Share of the workers whose class is within a third of their speed. */
function countCorrect(
  workers: readonly PlayedWorker[],
  getSpeed: (worker: number) => number,
): number {
  const correct = workers.filter(({ speed }, worker) =>
    Math.abs(Math.log(speed / getSpeed(worker))) < Math.log(4 / 3)
  );
  return correct.length / workers.length;
}

const CONDITIONS = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  noise: fc.double({ min: 0.15, max: 0.3, noNaN: true }),
  estimateError: fc.double({ min: 1, max: 1.9, noNaN: true }),
});
const PROPERTY = { seed: 20_261_204, numRuns: 25 };

describe("SpeedEstimates", () => {
  // Guards against urgent gangs on slow workers although many tasks have shown their speed.
  it("finds unequal speeds under noise and wrong estimates", () => {
    fc.assert(
      fc.property(CONDITIONS, (conditions) => {
        const workers = play({
          ...conditions,
          getSpeed: getMixedSpeed,
          durationMs: 40_000,
        });
        expect(countCorrect(workers, getMixedSpeed)).to.be.at.least(0.9);
      }),
      PROPERTY,
    );
  });

  // Guards against placements by noise where all workers are alike.
  it("leaves workers of equal speed in one class", () => {
    fc.assert(
      fc.property(CONDITIONS, (conditions) => {
        const getSpeed = () => 1;
        const workers = play({ ...conditions, getSpeed, durationMs: 25_000 });
        expect(countCorrect(workers, getSpeed)).to.be.at.least(0.95);
      }),
      PROPERTY,
    );
  });

  // Guards against one or two noisy tasks that make a worker count as fast or slow.
  it("leaves workers of equal speed in one class after few samples", () => {
    fc.assert(
      fc.property(CONDITIONS, (conditions) => {
        const getSpeed = () => 1;
        const workers = play({ ...conditions, getSpeed, durationMs: 4_000 });
        expect(countCorrect(workers, getSpeed)).to.be.at.least(0.95);
      }),
      PROPERTY,
    );
  });

  // Guards against slow workers that count as usual because work with slack, from which the speeds
  // are estimated, runs mostly on them.
  it("finds slow workers although most tasks run on them", () => {
    fc.assert(
      fc.property(CONDITIONS, (conditions) => {
        const workers = play({
          ...conditions,
          getSpeed: getMixedSpeed,
          durationMs: 40_000,
          slowShare: 0.7,
        });
        // The others have few samples, so that fast ones may count as usual.
        const isFound = ({ speed }: PlayedWorker, worker: number) =>
          speed < 0.9 === getMixedSpeed(worker) < 1;
        const found = workers.filter(isFound);
        expect(found.length / WORKERS).to.be.at.least(0.95);
      }),
      PROPERTY,
    );
  });

  // Guards against workers that count as usual because they are compared only with each other.
  it("separates workers whose steps run on few of them", () => {
    fc.assert(
      fc.property(CONDITIONS, (conditions) => {
        const workers = play({
          ...conditions,
          getSpeed: getMixedSpeed,
          durationMs: 40_000,
          workersPerStep: 6,
        });
        expect(countCorrect(workers, getMixedSpeed)).to.be.at.least(0.85);
      }),
      PROPERTY,
    );
  });

  // Guards against old samples that hide for long that a worker has become slow.
  it("notices within two reports that workers have become slow", () => {
    fc.assert(
      fc.property(CONDITIONS, (conditions) => {
        const slowFromMs = 22_000;
        const getSpeed = (worker: number, atMs: number) =>
          worker % 10 === 0 && atMs >= slowFromMs ? 0.15 : 1;
        const workers = play({ ...conditions, getSpeed, durationMs: 24_000 });
        const slow = workers.filter(({ reported }, worker) =>
          worker % 10 === 0 && reported > 0
        );
        expect(slow.every(({ speed }) => speed < 0.65)).to.equal(true);
      }),
      PROPERTY,
    );
  });

  it("starts anew with another incarnation of a worker", () => {
    const estimates = SpeedEstimates.create();
    const worker = "a" as WorkerName;
    estimates.addEarlier({
      worker,
      incarnationStartUnixMs: 1,
      logSpeed: -1,
      weight: 4,
    }, 0);
    expect(estimates.estimate(1).get(worker)?.logSpeed).to.be.below(-0.5);
    const add = (name: string, incarnationStartUnixMs: number, run: number) =>
      estimates.add({
        worker: name as WorkerName,
        incarnationStartUnixMs,
        stepKey: "step",
        runKey: `${name}.${run}`,
        ratePerMs: name === "a" ? 0.001 : 0.002,
        isUpperBound: false,
      }, 2);
    ["a", "b", "c", "d"].forEach((name) => add(name, 1, 1));
    add("a", 2, 2);
    const estimate = estimates.estimate(3).get(worker);
    expect(estimate?.incarnationStartUnixMs).to.equal(2);
    expect(estimate?.weight).to.be.at.most(1);
  });

  // Guards against estimates of an earlier lease holder that outlive their use.
  it("returns to the usual speed when an earlier estimate is older than a minute", () => {
    const estimates = SpeedEstimates.create();
    const worker = "a" as WorkerName;
    const earlier = {
      worker,
      incarnationStartUnixMs: 1,
      logSpeed: -1,
      weight: 4,
    };
    estimates.addEarlier(earlier, 0);
    expect(estimates.estimate(59_000).get(worker)?.logSpeed).to.be.below(-0.5);
    expect(estimates.estimate(61_000).get(worker)?.logSpeed).to.equal(0);
  });
});
