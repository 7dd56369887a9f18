/**
 * Measures slopes: memory or time at several sizes, each the median of five repeats, with a line fitted
 * through them.
 */
import process from "node:process";
import { fitLine, median } from "./fit.ts";
import type { Slope } from "./types.ts";

const REPEATS = 5;
const MICROSECONDS_PER_MS = 1_000;

/** A slope to measure. */
export interface SlopeOptions {
  readonly name: string;
  /** The item that the sizes count, as text for the report. */
  readonly per: string;
  readonly sizes: readonly number[];
}

export interface HeapSlopeOptions extends SlopeOptions {
  /** Builds the state of the given size; it stays reachable while the heap is measured. */
  readonly build: (size: number) => unknown;
}

export interface ProcessorSlopeOptions extends SlopeOptions {
  /** Prepares a run of the given size, outside of the measured time. */
  readonly prepare: (size: number) => () => void | Promise<void>;
}

/**
 * Bytes of heap and external memory after garbage collection, as the state grows. Needs
 * `node --expose-gc`.
 */
export function measureHeap(options: HeapSlopeOptions): Slope {
  const values = options.sizes.map((size) =>
    median(
      Array.from({ length: REPEATS }, () => measureHeapGrowth(options, size)),
    )
  );
  return createSlope(options, "bytes", values);
}

function measureHeapGrowth(options: HeapSlopeOptions, size: number): number {
  const before = readHeapAfterCollection();
  const kept = options.build(size);
  const after = readHeapAfterCollection();
  keepReachable(kept);
  return after - before;
}

function readHeapAfterCollection(): number {
  const { gc } = globalThis;
  if (gc === undefined) {
    throw new Error("the heap can only be measured with node --expose-gc");
  }
  gc();
  gc();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

let held: unknown;

/** Keeps the state reachable until after the second collection. */
function keepReachable(state: unknown): void {
  held = state;
  held = undefined;
  void held;
}

/** User and system time of this process in microseconds, as the number of operations grows. */
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

/** Elapsed time in microseconds, as the number of operations grows. */
export function measureElapsed(options: ProcessorSlopeOptions): Promise<Slope> {
  return measureTime(options, () => {
    const startedMs = performance.now();
    return () => (performance.now() - startedMs) * MICROSECONDS_PER_MS;
  });
}

/** `startTimer` returns a function that returns the microseconds since then. A first run warms up. */
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
