/**
 * Tables of the capacity page: load on the platform, cost of failures, and the times in which a
 * configuration comes into force and urgent work starts.
 */
import {
  CONFIGURATION_READ_JITTER_MS,
  OWNERSHIP_LEASE_MS,
  OWNERSHIP_TAKEOVER_STAGGER_MS,
  SHORTEST_REPORT_PERIOD_MS,
  STATE_CALL_TIMEOUT_MS,
  STATE_POLL_PERIOD_MS,
} from "@coltsfootpond/node";
import { RECLAIM_CHECKPOINT_LIMIT_MS } from "../../packages/policy/placement/constants.ts";
import type { MeasuredCosts } from "./costs.ts";
import { PRESENT_DESIGN, TARGET_SIZE } from "./design.ts";
import { formatRoundedUp, formatTable } from "./markdown.ts";
import { ASSUMED, RUNNING_JOBS, TARGET, TASKS_PER_JOB } from "./target.ts";

const MS_PER_SECOND = 1_000;
const SECONDS_PER_DAY = 86_400;
const TRANSITIONS_PER_JOB = 4;
/** Request and answer between an entry and the platform in another failure domain of its region. */
const ASSUMED_EXCHANGE_MS = 20;
/** One-way latency between regions. */
const ASSUMED_INTER_REGION_MS = 50;
const TASKS_PER_WORKER = TARGET.runningTasks / TARGET.workers;

/** The tables by the name in their markers. */
export function createLoadAndFailureTables(
  costs: MeasuredCosts,
): Readonly<Record<string, string>> {
  return {
    platform: createPlatformTable(costs),
    failures: createFailureTable(costs),
    configuration_window: createConfigurationTable(costs),
    urgent_window: createUrgentTable(costs),
  };
}

function createPlatformTable(costs: MeasuredCosts): string {
  const { entries, failureDomains } = TARGET_SIZE;
  const design = PRESENT_DESIGN;
  const jobs = TARGET.jobsPerDay / SECONDS_PER_DAY;
  const changes = TARGET.configurationChangesPerDay / SECONDS_PER_DAY;
  const polls = entries * MS_PER_SECOND / design.statePollMs;
  const rowsPerPoll = 2 + 2 * failureDomains + entries / 2;
  const writes = failureDomains * MS_PER_SECOND / design.ownershipRenewalMs +
    entries * MS_PER_SECOND / design.entryRenewalMs +
    jobs * TRANSITIONS_PER_JOB +
    changes;
  const row = (role: string, what: string, value: string, limit: string) => [
    role,
    what,
    value,
    limit,
  ];
  return formatTable(["role", "what", "at the target", "given"], [
    row(
      "table service",
      "transactions a second",
      formatRoundedUp(writes, 1),
      `${TARGET.tableWritesPerSecond} (this system's budget)`,
    ),
    row(
      "table service",
      "read calls a second",
      formatRoundedUp(polls, 1),
      `${TARGET.tableReadsPerSecond}`,
    ),
    row(
      "table service",
      "rows read a second",
      formatRoundedUp(polls * rowsPerPoll, 0),
      `${TARGET.tableReadsPerSecond}, if rows count`,
    ),
    row(
      "table service",
      "rows stored: jobs that have not ended",
      formatRoundedUp(RUNNING_JOBS + ASSUMED.queuedJobs, 0),
      "not given",
    ),
    row(
      "table service",
      "rows added a year: requests, never deleted",
      formatRoundedUp(TARGET.jobsPerDay * 365, 0),
      "not sustainable: no clean-up is built",
    ),
    row(
      "object store",
      "objects read a second",
      formatRoundedUp(changes * entries + jobs, 2),
      `${TARGET.tableReadsPerSecond}`,
    ),
    row(
      "object store",
      "objects written a day, never deleted",
      formatRoundedUp(TARGET.jobsPerDay + TARGET.configurationChangesPerDay, 0),
      "not sustainable: no clean-up is built",
    ),
    row(
      "worker API",
      "calls a second, all owners",
      formatRoundedUp(
        failureDomains *
            (MS_PER_SECOND / design.fleetReportMs +
              MS_PER_SECOND / design.taskRenewalMs) +
          jobs * 3,
        1,
      ),
      "not given",
    ),
    row(
      "worker API",
      "lease renewals a second, all workers",
      formatRoundedUp(TARGET.workers * MS_PER_SECOND / design.taskRenewalMs, 0),
      "not given",
    ),
    row(
      "command line",
      "bytes of one apply",
      formatRoundedUp(costs.getDeclarationBytes(TARGET_SIZE), 0),
      "16 MiB",
    ),
    row(
      "command line",
      "applies an hour",
      formatRoundedUp(TARGET.configurationChangesPerDay / 24, 0),
      "not given",
    ),
  ]);
}

/**
 * Time until the entry that is second in preference takes over from a lost owner: the poll that read
 * the last renewal, the lease, the stagger, and the poll after which the lease is expired.
 */
const TAKEOVER_WAIT_MS = OWNERSHIP_LEASE_MS + OWNERSHIP_TAKEOVER_STAGGER_MS +
  2 * STATE_POLL_PERIOD_MS;

/** One kind of failure and what it takes out. */
interface Failure {
  readonly name: string;
  readonly frequency: string;
  readonly workers: number;
  readonly takenOverDomains: number;
  readonly lostEntries: string;
}

const FAILURES: readonly Failure[] = [
  {
    name: "a worker's VM",
    frequency: "29 a day fail, 1,500 are replaced",
    workers: 1,
    takenOverDomains: 0,
    lostEntries: "0",
  },
  {
    name: "an entry",
    frequency: "included in the 29 and 1,500",
    workers: 0,
    takenOverDomains: 1,
    lostEntries: "1",
  },
  {
    name: "a rack",
    frequency: "every month or two",
    workers: ASSUMED.workersPerRack,
    takenOverDomains: 0,
    lostEntries: "0",
  },
  {
    name: "a failure domain",
    frequency: "once or twice a year",
    workers: TARGET_SIZE.workersPerDomain,
    takenOverDomains: 1,
    lostEntries: "1 or 2",
  },
  {
    name: "a region",
    frequency: "not given",
    workers: TARGET_SIZE.workersPerDomain * TARGET_SIZE.failureDomainsInRegion,
    takenOverDomains: 0,
    lostEntries: `${TARGET_SIZE.entriesInRegion}`,
  },
];

function createFailureTable(costs: MeasuredCosts): string {
  return formatTable(
    [
      "what fails",
      "how often",
      "tasks lost",
      "entries lost",
      "report to the owner",
      "takeover: bytes",
      "takeover: processor",
      "duration in s at 6 KB/s",
      "starts delayed by at most",
    ],
    FAILURES.map((failure) => {
      const tasks = Math.ceil(failure.workers * TASKS_PER_WORKER);
      const reportedBytes = tasks * costs.bytes("task_report") +
        failure.workers * costs.bytes("worker_report");
      const takeoverBytes = failure.takenOverDomains * getTakeoverBytes(costs);
      return [
        failure.name,
        failure.frequency,
        formatRoundedUp(tasks, 0),
        failure.lostEntries,
        `${formatRoundedUp(reportedBytes, 0)} B`,
        `${formatRoundedUp(takeoverBytes, 0)} B`,
        `${
          formatRoundedUp(failure.takenOverDomains * getTakeoverMs(costs), 0)
        } ms`,
        formatRoundedUp(
          (reportedBytes + takeoverBytes) / TARGET.controlBytesPerSecond,
          0,
        ),
        failure.takenOverDomains === 0
          ? "not delayed elsewhere"
          : `${formatRoundedUp(TAKEOVER_WAIT_MS + getTakeoverMs(costs), 0)} ms`,
      ];
    }),
  );
}

function getRunningJobsPerDomain(): number {
  return TARGET_SIZE.tasksPerDomain / TASKS_PER_JOB;
}

/** Bytes that a new owner reads: a scan of the domain's job rows and the full fleet report. */
function getTakeoverBytes(costs: MeasuredCosts): number {
  const jobs = getRunningJobsPerDomain() + TARGET_SIZE.queuedJobsPerDomain;
  return jobs * costs.bytes("job_row_24_tasks") +
    TARGET_SIZE.tasksPerDomain * costs.bytes("task_report") +
    TARGET_SIZE.workersPerDomain * costs.bytes("worker_report");
}

/** Time in which a new owner scans and restores the jobs of a failure domain. */
function getTakeoverMs(costs: MeasuredCosts): number {
  const jobs = getRunningJobsPerDomain() + TARGET_SIZE.queuedJobsPerDomain;
  const microseconds = jobs *
    (costs.getSlope("row_scan_time") + costs.getSlope("recovery_time"));
  return microseconds / MS_PER_SECOND;
}

/** Steps with their duration in milliseconds and its basis; their sum is compared with the limit. */
function createWindowTable(
  steps: readonly (readonly [string, number, string])[],
  limitMs: number,
): string {
  const sum = steps.reduce((total, [, ms]) => total + ms, 0);
  return formatTable(["step", "ms", "basis"], [
    ...steps.map(([name, ms, basis]) => [name, formatRoundedUp(ms, 0), basis]),
    ["sum", formatRoundedUp(sum, 0), sum <= limitMs ? "fits" : "does not fit"],
    ["limit", formatRoundedUp(limitMs, 0), "target"],
  ]);
}

function createConfigurationTable(costs: MeasuredCosts): string {
  const parseMs = costs.configurationParseMicroseconds / MS_PER_SECOND;
  return createWindowTable([
    ["the entry checks the declarations", parseMs, "measured"],
    ["stores the changed file", ASSUMED_EXCHANGE_MS, "assumed"],
    ["replaces the head row", ASSUMED_EXCHANGE_MS, "assumed"],
    [
      "the push is lost; wait for the next poll",
      STATE_POLL_PERIOD_MS,
      "constant",
    ],
    [
      "that poll is lost too",
      STATE_CALL_TIMEOUT_MS + STATE_POLL_PERIOD_MS,
      "constants",
    ],
    ["jitter before the read", CONFIGURATION_READ_JITTER_MS, "constant"],
    ["reads the head row and the file", 2 * ASSUMED_EXCHANGE_MS, "assumed"],
    ["between regions, twice", 2 * ASSUMED_INTER_REGION_MS, "assumed"],
    ["checks the declarations", parseMs, "measured"],
  ], TARGET.configurationInForceMs);
}

function createUrgentTable(costs: MeasuredCosts): string {
  const placeMs =
    costs.getPlacementMicroseconds(TARGET_SIZE.queuedJobsPerDomain) /
    MS_PER_SECOND;
  return createWindowTable([
    ["writes the rows of request and job", ASSUMED_EXCHANGE_MS, "assumed"],
    ["notice to the owner", ASSUMED_INTER_REGION_MS, "assumed"],
    ["the owner reads the row", ASSUMED_EXCHANGE_MS, "assumed"],
    ["decision", placeMs, "measured"],
    [
      "victims write checkpoints, at most",
      RECLAIM_CHECKPOINT_LIMIT_MS,
      "constant",
    ],
    ["next poll of the fleet", SHORTEST_REPORT_PERIOD_MS, "constant"],
    ["stop, hold, placement row, start", 4 * ASSUMED_EXCHANGE_MS, "assumed"],
  ], TARGET.urgentStartMs);
}
