/** Tables of the capacity page that show the measured figures: machine, slopes, messages, idle runs. */
import {
  computeIdleUsage,
  getLargest,
  LIMITS,
  sumIdleBytes,
} from "./evaluate.ts";
import {
  formatMegabytes,
  formatPercent,
  formatRoundedUp,
  formatTable,
  type TableCells,
} from "./markdown.ts";
import type { CapacityReport, IdleRun, Slope } from "./types.ts";

/** The tables by the name in their markers. */
export function createMeasuredTables(
  report: CapacityReport,
): Readonly<Record<string, string>> {
  return {
    machine: createMachineTable(report),
    slopes: formatTable(
      [
        "slope",
        "additional item",
        "sizes",
        "cost of each",
        "intercept",
        "residual",
      ],
      report.slopes.map(createSlopeRow),
    ),
    messages: formatTable(
      ["message", "bytes"],
      report.messages.map((
        { name, bytes },
      ) => [name, formatRoundedUp(bytes, 0)]),
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
    ["duration", `${elapsedSeconds} s`],
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
    `${formatRoundedUp(slope.slope, 2)} ${unit}`,
    `${formatRoundedUp(slope.intercept, 0)} ${unit}`,
    formatPercent(slope.residualShare, 1),
  ];
}

/** Each measured figure is the largest among the entries of the run. */
function createIdleRow(report: CapacityReport, run: IdleRun): TableCells {
  const computed = computeIdleUsage(report, run.entries);
  const getService = (service: string) =>
    getLargest(
      run.perEntry,
      (entry) =>
        entry.platformBytesPerSecond.find((candidate) =>
          candidate.service === service
        )
          ?.bytesPerSecond ?? 0,
    );
  const bytes = getLargest(run.perEntry, sumIdleBytes);
  return [
    `${run.entries}, ${run.seconds} s`,
    formatRoundedUp(
      getLargest(run.perEntry, (entry) => entry.meshBytesPerSecond),
      0,
    ),
    formatRoundedUp(getService("table"), 0),
    formatRoundedUp(getService("objects"), 0),
    formatRoundedUp(getService("vms"), 0),
    formatRoundedUp(getService("fleet"), 0),
    formatRoundedUp(bytes, 0) +
    (bytes > LIMITS.bytesPerSecond ? " (over)" : ""),
    formatRoundedUp(computed.bytesPerSecond, 0),
    formatPercent(getLargest(run.perEntry, (entry) => entry.processorShare), 2),
    formatPercent(computed.processorShare, 2),
    formatMegabytes(getLargest(run.perEntry, (entry) => entry.residentBytes)),
  ];
}
