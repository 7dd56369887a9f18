/** What the operating system says of this process. */
import process from "node:process";

/** Processor time and resident memory of the whole process. */
export interface ProcessUsage {
  /** User and system time since the process started. */
  readonly processorMs: number;
  readonly residentBytes: number;
}

const MICROSECONDS_PER_MS = 1_000;

/** Reads the usage of this process. All of it counts as control: nothing is left out. */
export function readProcessUsage(): ProcessUsage {
  const { user, system } = process.cpuUsage();
  return {
    processorMs: (user + system) / MICROSECONDS_PER_MS,
    residentBytes: process.memoryUsage.rss(),
  };
}
