/** Measures slopes: a value at four sizes, each the median of several repeats. */
import process from "node:process";
import { fitLine, median } from "./fit.ts";
import type { Slope } from "./types.ts";

const REPEATS = 5;
const MICROSECONDS_PER_MS = 1_000;

/** A slope to measure. */
export interface SlopeOptions {
  readonly name: string;
  readonly per: string;
  readonly sizes: readonly number[];
}

export interface HeapSlopeOptions extends SlopeOptions {
  /** Builds the state of the given size; what it returns is kept alive while it is weighed. */
  readonly build: (size: number) => unknown;
}

export interface ProcessorSlopeOptions extends SlopeOptions {
  /** Prepares the run of the given size outside of the measured time. */
  readonly prepare: (size: number) => () => void | Promise<void>;
}

/** Heap after collection, with what lies outside of the heap, as the state grows. */
export function measureHeap(options: HeapSlopeOptions): Slope {
  const values = options.sizes.map((size) =>
    median(Array.from({ length: REPEATS }, () => weigh(options, size)))
  );
  return createSlope(options, "bytes", values);
}

function weigh(options: HeapSlopeOptions, size: number): number {
  const before = collectHeap();
  const kept = options.build(size);
  const after = collectHeap();
  holdAlive(kept);
  return after - before;
}

function collectHeap(): number {
  const { gc } = globalThis;
  if (gc === undefined) throw new Error("run with node --expose-gc");
  gc();
  gc();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

let held: unknown;

/** Keeps the state reachable until after the second collection. */
function holdAlive(state: unknown): void {
  held = state;
  held = undefined;
  void held;
}

/** User and system time of the whole process as the count of operations grows. */
export function measureProcessor(
  options: ProcessorSlopeOptions,
): Promise<Slope> {
  return measureTime(options, () => {
    const before = process.cpuUsage();
    return () => {
      const { user, system } = process.cpuUsage(before);
      return user + system;
    };
  });
}

/** Elapsed time as the count of operations grows. */
export function measureElapsed(options: ProcessorSlopeOptions): Promise<Slope> {
  return measureTime(options, () => {
    const startedMs = performance.now();
    return () => (performance.now() - startedMs) * MICROSECONDS_PER_MS;
  });
}

/** `startTimer` gives a function that tells the microseconds since. */
async function measureTime(
  options: ProcessorSlopeOptions,
  startTimer: () => () => number,
): Promise<Slope> {
  await options.prepare(options.sizes[0] ?? 1)();
  const values: number[] = [];
  for (const size of options.sizes) {
    const repeats: number[] = [];
    for (let repeat = 0; repeat < REPEATS; repeat++) {
      const run = options.prepare(size);
      globalThis.gc?.();
      const readTimer = startTimer();
      await run();
      repeats.push(readTimer());
    }
    values.push(median(repeats));
  }
  return createSlope(options, "microseconds", values);
}

function createSlope(
  options: SlopeOptions,
  unit: Slope["unit"],
  values: readonly number[],
): Slope {
  return {
    name: options.name,
    per: options.per,
    unit,
    sizes: options.sizes,
    values,
    ...fitLine(options.sizes, values),
  };
}
