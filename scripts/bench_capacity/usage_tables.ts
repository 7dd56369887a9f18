/** Tables of the capacity page that show the computed resource usage of an entry and of a worker. */
import type { MeasuredCosts } from "./costs.ts";
import {
  type DeploymentSize,
  type Design,
  EARLIER_DESIGN,
  PRESENT_DESIGN,
  PROPOSED_DESIGN,
  TARGET_SIZE,
} from "./design.ts";
import {
  findLargest,
  findLineClosestToLimit,
  getLimitShare,
  growthFitsLimits,
  LIMITS,
  sumUsage,
  usageFitsLimits,
} from "./evaluate.ts";
import { computeEntryUsage, type UsageLine } from "./usage.ts";
import {
  formatMegabytes,
  formatPercent,
  formatRoundedUp,
  formatTable,
  type TableCells,
} from "./markdown.ts";
import { TARGET } from "./target.ts";

/** Upper limit of the search for the largest count that fits. */
const LARGEST_COUNT = 100_000;

/** The tables by the name in their markers. */
export function createUsageTables(
  costs: MeasuredCosts,
): Readonly<Record<string, string>> {
  return {
    ledger_present: createEntryUsageTable(costs, PRESENT_DESIGN),
    ledger_proposed: createEntryUsageTable(costs, PROPOSED_DESIGN),
    designs: createDesignTable(costs),
    entries: createEntriesTable(costs),
    stops: createGrowthTable(costs),
    worker: createWorkerTable(costs),
  };
}

function createEntryUsageTable(costs: MeasuredCosts, design: Design): string {
  const lines = computeEntryUsage(costs, design, TARGET_SIZE);
  const sum = sumUsage(lines);
  const closest = findLineClosestToLimit(lines);
  return formatTable(
    ["role", "line", "B/s", "core", "memory", "mechanism", "file"],
    [
      ...lines.map(createEntryUsageRow),
      ["", "sum", ...formatUsage(sum), "", ""],
      ["", "limit", ...formatUsage(LIMITS), "", ""],
      [
        "",
        "share of the limit",
        formatPercent(sum.bytesPerSecond / LIMITS.bytesPerSecond, 0),
        formatPercent(sum.processorShare / LIMITS.processorShare, 0),
        formatPercent(sum.memoryBytes / LIMITS.memoryBytes, 0),
        `closest to its limit: ${closest.name}`,
        "",
      ],
    ],
  );
}

function createEntryUsageRow(line: UsageLine): TableCells {
  return [
    line.role,
    line.name,
    ...formatUsage(line),
    line.mechanism,
    `\`${line.file}\``,
  ];
}

function formatUsage(sum: {
  readonly bytesPerSecond: number;
  readonly processorShare: number;
  readonly memoryBytes: number;
}): TableCells {
  return [
    formatRoundedUp(sum.bytesPerSecond, 0),
    formatPercent(sum.processorShare),
    formatMegabytes(sum.memoryBytes),
  ];
}

function createDesignTable(costs: MeasuredCosts): string {
  const designs: readonly (readonly [string, Design])[] = [
    ["before the changes done so far", EARLIER_DESIGN],
    ["now", PRESENT_DESIGN],
    ["proposed, not built", PROPOSED_DESIGN],
  ];
  return formatTable(
    ["design", "B/s", "core", "memory", "within all limits"],
    designs.map(([name, design]) => {
      const sum = sumUsage(computeEntryUsage(costs, design, TARGET_SIZE));
      const fits = getLimitShare(sum) <= 1 ? "yes" : "no";
      return [name, ...formatUsage(sum), fits];
    }),
  );
}

function createEntriesTable(costs: MeasuredCosts): string {
  const counts = [9, TARGET_SIZE.entries, 28, 56];
  return formatTable(
    [
      "entries in all",
      "entries in a region",
      "now B/s",
      "now core",
      "proposed B/s",
      "proposed core",
    ],
    counts.map((entries) => {
      const size = createSizeWithEntries(entries);
      const now = sumUsage(computeEntryUsage(costs, PRESENT_DESIGN, size));
      const proposed = sumUsage(
        computeEntryUsage(costs, PROPOSED_DESIGN, size),
      );
      return [
        String(entries),
        String(size.entriesInRegion),
        formatRoundedUp(now.bytesPerSecond, 0),
        formatPercent(now.processorShare, 2),
        formatRoundedUp(proposed.bytesPerSecond, 0),
        formatPercent(proposed.processorShare, 2),
      ];
    }),
  );
}

/** With fewer entries than failure domains, one entry owns several. */
function createSizeWithEntries(entries: number): DeploymentSize {
  return {
    ...TARGET_SIZE,
    entries,
    entriesInRegion: Math.ceil(entries / TARGET.regions),
    ownedFailureDomains: Math.ceil(TARGET_SIZE.failureDomains / entries),
  };
}

/** Items whose number may grow, and the deployment size at a given number of them. */
const GROWTHS: readonly {
  readonly name: string;
  readonly target: number;
  readonly vary: (count: number) => DeploymentSize;
}[] = [
  {
    name: "entries in all",
    target: TARGET_SIZE.entries,
    vary: (count) => ({
      ...TARGET_SIZE,
      entries: count,
      entriesInRegion: Math.ceil(count / TARGET.regions),
    }),
  },
  {
    name: "workers of one failure domain (10 tasks each)",
    target: TARGET_SIZE.workersPerDomain,
    vary: (count) => ({
      ...TARGET_SIZE,
      workersPerDomain: count,
      tasksPerDomain: Math.ceil(count * TARGET.runningTasks / TARGET.workers),
    }),
  },
  {
    name: "failure domains owned by one entry",
    target: 1,
    vary: (count) => ({ ...TARGET_SIZE, ownedFailureDomains: count }),
  },
  {
    name: "organisations",
    target: TARGET_SIZE.organisations,
    vary: (count) => ({
      ...TARGET_SIZE,
      organisations: count,
      files: count + TARGET_SIZE.failureDomains + 1,
    }),
  },
  {
    name: "runners",
    target: TARGET_SIZE.runners,
    vary: (count) => ({ ...TARGET_SIZE, runners: count }),
  },
  {
    name: "jobs a day",
    target: TARGET_SIZE.jobsPerDay,
    vary: (count) => ({ ...TARGET_SIZE, jobsPerDay: count }),
  },
];

function createGrowthTable(costs: MeasuredCosts): string {
  return formatTable(
    [
      "what grows",
      "target",
      "now: growth alone fills a limit at",
      "proposed: whole usage fits up to",
    ],
    GROWTHS.map(({ name, target, vary }) => [
      name,
      formatRoundedUp(target, 0),
      formatLargest((count) =>
        growthFitsLimits(costs, PRESENT_DESIGN, vary, count)
      ),
      formatLargest((count) =>
        usageFitsLimits(costs, PROPOSED_DESIGN, vary(count))
      ),
    ]),
  );
}

function formatLargest(fits: (count: number) => boolean): string {
  const found = findLargest(fits, LARGEST_COUNT);
  if (found === LARGEST_COUNT) return `over ${formatRoundedUp(found, 0)}`;
  return found === 0 ? "never" : formatRoundedUp(found, 0);
}

/**
 * Coltsfootpond runs no process on workers: the usage of a worker is its share of the owner's traffic.
 */
function createWorkerTable(costs: MeasuredCosts): string {
  const { workersPerDomain } = TARGET_SIZE;
  const owner = computeEntryUsage(costs, PRESENT_DESIGN, TARGET_SIZE)
    .filter((line) => line.role === "owner" && line.file.includes("/jobs/"));
  const rows = owner
    .filter((line) => !line.file.endsWith("job_rows.ts"))
    .map((line) => ({
      name: line.name,
      bytesPerSecond: line.bytesPerSecond /
        (workersPerDomain * PRESENT_DESIGN.ownerImbalance),
    }));
  const sum = rows.reduce((total, row) => total + row.bytesPerSecond, 0);
  return formatTable(
    ["line", "B/s for each worker", "core", "memory"],
    [
      ...rows.map(({ name, bytesPerSecond }) => [
        `${name}, one worker's share`,
        formatRoundedUp(bytesPerSecond, 1),
        "the platform's agent",
        "the platform's agent",
      ]),
      [
        "sum",
        formatRoundedUp(sum, 1),
        "0%, no own process",
        "0 MB, no own process",
      ],
      [
        "limit",
        formatRoundedUp(LIMITS.bytesPerSecond, 0),
        formatPercent(LIMITS.processorShare, 0),
        formatMegabytes(LIMITS.memoryBytes),
      ],
    ],
  );
}
