/** Sums of ledgers, and how they compare with the idle runs. */
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

/** Totals of a ledger. */
export interface ResourceUsage {
  readonly bytesPerSecond: number;
  readonly processorShare: number;
  readonly memoryBytes: number;
}

/** The three limits of a node. */
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

/** The largest share of its limit that any one figure of the line takes. */
export function getLimitShare(line: ResourceUsage): number {
  return Math.max(
    line.bytesPerSecond / LIMITS.bytesPerSecond,
    line.processorShare / LIMITS.processorShare,
    line.memoryBytes / LIMITS.memoryBytes,
  );
}

export function findLineClosestToLimit(lines: readonly UsageLine[]): UsageLine {
  return [...lines].sort((left, right) =>
    getLimitShare(right) - getLimitShare(left)
  )[0] as UsageLine;
}

/** Costs on the wire; the processor time that no line explains counts as one more line. */
export function createCosts(report: CapacityReport): MeasuredCosts {
  return MeasuredCosts.create({
    report,
    framing: NETWORK_FRAMING,
    unexplainedProcessorShare: Math.max(
      0,
      ...report.idleRuns.map(({ entries, perEntry }) => {
        const derived = computeIdleUsage(report, entries).processorShare;
        return getLargest(perEntry, (one) => one.processorShare) - derived;
      }),
    ),
  });
}

/** What the lines give for an idle run, counted as the meters count. */
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

export function getLargest(
  entries: readonly IdleEntry[],
  pick: (entry: IdleEntry) => number,
): number {
  return Math.max(0, ...entries.map(pick));
}

export function sumIdleBytes(entry: IdleEntry): number {
  return entry.platformBytesPerSecond.reduce(
    (sum, one) => sum + one.bytesPerSecond,
    entry.meshBytesPerSecond,
  );
}

/** The largest count up to `maximum` for which `fits` still holds; it must hold below that. */
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

/** Whether what `count` adds over one keeps all limits by itself. */
export function growthFitsLimits(
  costs: MeasuredCosts,
  design: Design,
  vary: (count: number) => DeploymentSize,
  count: number,
): boolean {
  const sum = (size: DeploymentSize) =>
    sumUsage(computeEntryUsage(costs, design, size));
  const grown = sum(vary(count));
  const least = sum(vary(1));
  return getLimitShare({
    bytesPerSecond: grown.bytesPerSecond - least.bytesPerSecond,
    processorShare: grown.processorShare - least.processorShare,
    memoryBytes: grown.memoryBytes - least.memoryBytes,
  }) <= 1;
}

/** Whether the whole ledger keeps all limits. */
export function usageFitsLimits(
  costs: MeasuredCosts,
  design: Design,
  size: DeploymentSize,
): boolean {
  return getLimitShare(sumUsage(computeEntryUsage(costs, design, size))) <= 1;
}
