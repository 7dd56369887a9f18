/** Reads processor time and memory of this process from the operating system. */
import process from "node:process";

export interface ProcessUsage {
  /** User and system time since the process started. */
  readonly processorMs: number;
  readonly residentBytes: number;
}

const MICROSECONDS_PER_MS = 1_000;

/** Everything that the process uses counts as cost of the control plane. */
export function readProcessUsage(): ProcessUsage {
  const { user, system } = process.cpuUsage();
  return {
    processorMs: (user + system) / MICROSECONDS_PER_MS,
    residentBytes: process.memoryUsage.rss(),
  };
}
