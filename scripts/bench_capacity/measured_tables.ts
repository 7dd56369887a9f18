/** Tables of what was measured. */
import {
  computeIdleUsage,
  getLargest,
  LIMITS,
  sumIdleBytes,
} from "./evaluate.ts";
import {
  formatMegabytes,
  formatPercent,
  formatTable,
  formatUp,
  type TableCells,
} from "./markdown.ts";
import type { CapacityReport, IdleRun, Slope } from "./types.ts";

/** The tables by name. */
export function createMeasuredTables(
  report: CapacityReport,
): Readonly<Record<string, string>> {
  return {
    machine: createMachineTable(report),
    slopes: formatTable(
      ["slope", "one more", "sizes", "each costs", "at zero", "residual"],
      report.slopes.map(createSlopeRow),
    ),
    messages: formatTable(
      ["message", "bytes"],
      report.messages.map(({ name, bytes }) => [name, formatUp(bytes, 0)]),
    ),
    idle: formatTable(
      [
        "entries",
        "mesh B/s",
        "table B/s",
        "objects B/s",
        "VM list B/s",
        "workers B/s",
        "all B/s",
        "derived B/s",
        "core",
        "derived core",
        "resident",
      ],
      report.idleRuns.map((run) => createIdleRow(report, run)),
    ),
  };
}

function createMachineTable(report: CapacityReport): string {
  const { machine, date, messagesDate, command, elapsedSeconds } = report;
  return formatTable(["what", "value"], [
    ["date of the slopes", date],
    ["date of the sizes of messages", messagesDate],
    ["command", `\`${command}\``],
    ["took", `${elapsedSeconds} s`],
    ["processor", `${machine.processor}, ${machine.cores} cores`],
    ["memory", `${machine.memoryGib} GiB`],
    ["Node.js", machine.nodeVersion],
  ]);
}

function createSlopeRow(slope: Slope): TableCells {
  const unit = slope.unit === "bytes" ? "B" : "µs";
  return [
    slope.name,
    slope.per,
    slope.sizes.join(", "),
    `${formatUp(slope.slope, 2)} ${unit}`,
    `${formatUp(slope.intercept, 0)} ${unit}`,
    formatPercent(slope.residualShare, 1),
  ];
}

/** Each figure is that of the entry for which it is largest. */
function createIdleRow(report: CapacityReport, run: IdleRun): TableCells {
  const derived = computeIdleUsage(report, run.entries);
  const getService = (service: string) =>
    getLargest(
      run.perEntry,
      (entry) =>
        entry.platformBytesPerSecond.find((one) => one.service === service)
          ?.bytesPerSecond ?? 0,
    );
  const bytes = getLargest(run.perEntry, sumIdleBytes);
  return [
    `${run.entries}, ${run.seconds} s`,
    formatUp(getLargest(run.perEntry, (one) => one.meshBytesPerSecond), 0),
    formatUp(getService("table"), 0),
    formatUp(getService("objects"), 0),
    formatUp(getService("vms"), 0),
    formatUp(getService("fleet"), 0),
    formatUp(bytes, 0) +
    (bytes > LIMITS.bytesPerSecond ? " (over)" : ""),
    formatUp(derived.bytesPerSecond, 0),
    formatPercent(getLargest(run.perEntry, (one) => one.processorShare), 2),
    formatPercent(derived.processorShare, 2),
    formatMegabytes(getLargest(run.perEntry, (one) => one.residentBytes)),
  ];
}
