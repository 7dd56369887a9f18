/** Sums the computed resource usage and compares it with the limits and the idle runs. */
import { MeasuredCosts, METER_FRAMING, NETWORK_FRAMING } from "./costs.ts";
import {
  createIdleSize,
  type DeploymentSize,
  type Design,
  PRESENT_DESIGN,
} from "./design.ts";
import { computeEntryUsage, type UsageLine } from "./usage.ts";
import { TARGET } from "./target.ts";
import type { CapacityReport, IdleEntry } from "./types.ts";

/** Resource usage of one usage line or of a sum of lines. */
export interface ResourceUsage {
  readonly bytesPerSecond: number;
  readonly processorShare: number;
  readonly memoryBytes: number;
}

/** The three limits of the control software on one machine. */
export const LIMITS: ResourceUsage = {
  bytesPerSecond: TARGET.controlBytesPerSecond,
  processorShare: TARGET.processorShare,
  memoryBytes: TARGET.memoryBytes,
};

export function sumUsage(lines: readonly UsageLine[]): ResourceUsage {
  const sum = (pick: (line: UsageLine) => number) =>
    lines.reduce((total, line) => total + pick(line), 0);
  return {
    bytesPerSecond: sum((line) => line.bytesPerSecond),
    processorShare: sum((line) => line.processorShare),
    memoryBytes: sum((line) => line.memoryBytes),
  };
}

/** The largest share of a limit that any of the three figures takes; 1 is the whole limit. */
export function getLimitShare(line: ResourceUsage): number {
  return Math.max(
    line.bytesPerSecond / LIMITS.bytesPerSecond,
    line.processorShare / LIMITS.processorShare,
    line.memoryBytes / LIMITS.memoryBytes,
  );
}

/** The line with the largest `getLimitShare`. */
export function findLineClosestToLimit(lines: readonly UsageLine[]): UsageLine {
  return [...lines].sort((left, right) =>
    getLimitShare(right) - getLimitShare(left)
  )[0] as UsageLine;
}

/**
 * Costs with the bytes on the network. Processor time of the idle runs that the usage lines don't
 * account for is included as `unexplainedProcessorShare`.
 */
export function createCosts(report: CapacityReport): MeasuredCosts {
  return MeasuredCosts.create({
    report,
    framing: NETWORK_FRAMING,
    unexplainedProcessorShare: Math.max(
      0,
      ...report.idleRuns.map(({ entries, perEntry }) => {
        const computed = computeIdleUsage(report, entries).processorShare;
        return getLargest(perEntry, (entry) => entry.processorShare) -
          computed;
      }),
    ),
  });
}

/** Computed usage of an entry in an idle run, with bytes as the daemons' meters count them. */
export function computeIdleUsage(
  report: CapacityReport,
  entries: number,
): ResourceUsage {
  const costs = MeasuredCosts.create({
    report,
    framing: METER_FRAMING,
    unexplainedProcessorShare: 0,
  });
  return sumUsage(
    computeEntryUsage(costs, PRESENT_DESIGN, createIdleSize(entries)),
  );
}

/** The largest value among the entries of an idle run; 0 without entries. */
export function getLargest(
  entries: readonly IdleEntry[],
  pick: (entry: IdleEntry) => number,
): number {
  return Math.max(0, ...entries.map(pick));
}

/** Bytes a second of an entry over the mesh and to all platform services. */
export function sumIdleBytes(entry: IdleEntry): number {
  return entry.platformBytesPerSecond.reduce(
    (sum, service) => sum + service.bytesPerSecond,
    entry.meshBytesPerSecond,
  );
}

/**
 * The largest count up to `maximum` for which `fits` is true, by binary search; 0 when there is none.
 * `fits` must be true for all smaller counts.
 */
export function findLargest(
  fits: (count: number) => boolean,
  maximum: number,
): number {
  let low = 0;
  let high = maximum;
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    if (fits(middle)) low = middle;
    else high = middle - 1;
  }
  return low;
}

/** Whether the usage that `count` items add to that of one item alone is within all limits. */
export function growthFitsLimits(
  costs: MeasuredCosts,
  design: Design,
  vary: (count: number) => DeploymentSize,
  count: number,
): boolean {
  const sum = (size: DeploymentSize) =>
    sumUsage(computeEntryUsage(costs, design, size));
  const usage = sum(vary(count));
  const baseline = sum(vary(1));
  return getLimitShare({
    bytesPerSecond: usage.bytesPerSecond - baseline.bytesPerSecond,
    processorShare: usage.processorShare - baseline.processorShare,
    memoryBytes: usage.memoryBytes - baseline.memoryBytes,
  }) <= 1;
}

/** Whether the whole usage of an entry is within all limits. */
export function usageFitsLimits(
  costs: MeasuredCosts,
  design: Design,
  size: DeploymentSize,
): boolean {
  return getLimitShare(sumUsage(computeEntryUsage(costs, design, size))) <= 1;
}
