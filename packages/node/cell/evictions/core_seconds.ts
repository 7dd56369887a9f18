/** Capacity of tasks in cores, with accelerators counted as cores. */
import type { StepSpec } from "@coltsfootpond/policy";

/** The number of cores that an accelerator counts for (the platform's prices). */
const CORES_PER_ACCELERATOR = 8;
const MILLI = 1_000;

/** Cores of one task of the step. */
export function computeCores({ need }: StepSpec): number {
  return need.cpuMilli / MILLI + need.accelerators * CORES_PER_ACCELERATOR;
}

/** Core-seconds of one task of the step. */
export function computeCoreSeconds(step: StepSpec, durationMs: number): number {
  return computeCores(step) * durationMs / MILLI;
}
