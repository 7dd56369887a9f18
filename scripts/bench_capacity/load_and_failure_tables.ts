/** Tables of the platform's load, of failures and of the two time windows. */
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
import { formatTable, formatUp } from "./markdown.ts";
import { ASSUMED, RUNNING_JOBS, TARGET, TASKS_PER_JOB } from "./target.ts";

const MS_PER_SECOND = 1_000;
const SECONDS_PER_DAY = 86_400;
const TRANSITIONS_PER_JOB = 4;
/** One exchange with the platform in the other failure domain of a region. */
const ASSUMED_EXCHANGE_MS = 20;
/** One way between regions. */
const ASSUMED_REGION_MS = 50;
const TASKS_PER_WORKER = TARGET.runningTasks / TARGET.workers;

/** The tables by name. */
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
      formatUp(writes, 1),
      `${TARGET.tableWritesPerSecond} (our budget)`,
    ),
    row(
      "table service",
      "read calls a second",
      formatUp(polls, 1),
      `${TARGET.tableReadsPerSecond}`,
    ),
    row(
      "table service",
      "rows read a second",
      formatUp(polls * rowsPerPoll, 0),
      `${TARGET.tableReadsPerSecond}, if rows count`,
    ),
    row(
      "table service",
      "rows kept: jobs not ended",
      formatUp(RUNNING_JOBS + ASSUMED.queuedJobs, 0),
      "not told",
    ),
    row(
      "table service",
      "rows added a year: requests, never deleted",
      formatUp(TARGET.jobsPerDay * 365, 0),
      "not carried: no clean-up is built",
    ),
    row(
      "object store",
      "objects read a second",
      formatUp(changes * entries + jobs, 2),
      `${TARGET.tableReadsPerSecond}`,
    ),
    row(
      "object store",
      "objects written a day, never deleted",
      formatUp(TARGET.jobsPerDay + TARGET.configurationChangesPerDay, 0),
      "not carried: no clean-up is built",
    ),
    row(
      "worker API",
      "calls a second, all owners",
      formatUp(
        failureDomains *
            (MS_PER_SECOND / design.fleetReportMs +
              MS_PER_SECOND / design.taskRenewalMs) +
          jobs * 3,
        1,
      ),
      "not told",
    ),
    row(
      "worker API",
      "lease renewals a second, all workers",
      formatUp(TARGET.workers * MS_PER_SECOND / design.taskRenewalMs, 0),
      "not told",
    ),
    row(
      "command line",
      "bytes of one apply",
      formatUp(costs.setBytes(TARGET_SIZE), 0),
      "16 MiB",
    ),
    row(
      "command line",
      "applies an hour",
      formatUp(TARGET.configurationChangesPerDay / 24, 0),
      "not told",
    ),
  ]);
}

/**
 * Until the second preferred entry has seen a lost owner's lease stand still: the poll that saw
 * the last beat, the term, the stagger, and the poll that ends it.
 */
const TAKEOVER_WAIT_MS = OWNERSHIP_LEASE_MS + OWNERSHIP_TAKEOVER_STAGGER_MS +
  2 * STATE_POLL_PERIOD_MS;

interface Failure {
  readonly name: string;
  readonly often: string;
  readonly workers: number;
  readonly takenOverDomains: number;
  readonly lostEntries: string;
}

const FAILURES: readonly Failure[] = [
  {
    name: "a worker's VM",
    often: "29 a day fail, 1,500 are replaced",
    workers: 1,
    takenOverDomains: 0,
    lostEntries: "0",
  },
  {
    name: "an entry",
    often: "among the 29 and 1,500",
    workers: 0,
    takenOverDomains: 1,
    lostEntries: "1",
  },
  {
    name: "a rack",
    often: "every month or two",
    workers: ASSUMED.workersPerRack,
    takenOverDomains: 0,
    lostEntries: "0",
  },
  {
    name: "a failure domain",
    often: "once or twice a year",
    workers: TARGET_SIZE.workersPerDomain,
    takenOverDomains: 1,
    lostEntries: "1 or 2",
  },
  {
    name: "a region",
    often: "not told",
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
      "taking over: bytes",
      "taking over: processor",
      "as seconds of the 6 KB/s",
      "no starts for, at most",
    ],
    FAILURES.map((failure) => {
      const tasks = Math.ceil(failure.workers * TASKS_PER_WORKER);
      const reported = tasks * costs.bytes("task_report") +
        failure.workers * costs.bytes("worker_report");
      const taken = failure.takenOverDomains * getTakeoverBytes(costs);
      return [
        failure.name,
        failure.often,
        formatUp(tasks, 0),
        failure.lostEntries,
        `${formatUp(reported, 0)} B`,
        `${formatUp(taken, 0)} B`,
        `${formatUp(failure.takenOverDomains * getTakeoverMs(costs), 0)} ms`,
        formatUp((reported + taken) / TARGET.controlBytesPerSecond, 0),
        failure.takenOverDomains === 0
          ? "none elsewhere"
          : `${formatUp(TAKEOVER_WAIT_MS + getTakeoverMs(costs), 0)} ms`,
      ];
    }),
  );
}

function getRunningJobsPerDomain(): number {
  return TARGET_SIZE.tasksPerDomain / TASKS_PER_JOB;
}

/** Scan of the domain's jobs and the fleet's full report. */
function getTakeoverBytes(costs: MeasuredCosts): number {
  const jobs = getRunningJobsPerDomain() + TARGET_SIZE.queuedJobsPerDomain;
  return jobs * costs.bytes("job_row_24_tasks") +
    TARGET_SIZE.tasksPerDomain * costs.bytes("task_report") +
    TARGET_SIZE.workersPerDomain * costs.bytes("worker_report");
}

function getTakeoverMs(costs: MeasuredCosts): number {
  const jobs = getRunningJobsPerDomain() + TARGET_SIZE.queuedJobsPerDomain;
  const microseconds = jobs *
    (costs.slope("row_scan_time") + costs.slope("recovery_time"));
  return microseconds / MS_PER_SECOND;
}

function createWindowTable(
  steps: readonly (readonly [string, number, string])[],
  limitMs: number,
): string {
  const sum = steps.reduce((total, [, ms]) => total + ms, 0);
  return formatTable(["step", "ms", "basis"], [
    ...steps.map(([name, ms, basis]) => [name, formatUp(ms, 0), basis]),
    ["sum", formatUp(sum, 0), sum <= limitMs ? "fits" : "does not fit"],
    ["limit", formatUp(limitMs, 0), "target"],
  ]);
}

function createConfigurationTable(costs: MeasuredCosts): string {
  const parseMs = costs.configurationParseMicroseconds / MS_PER_SECOND;
  return createWindowTable([
    ["the entry checks the set", parseMs, "measured"],
    ["stores the changed file", ASSUMED_EXCHANGE_MS, "assumed"],
    ["moves the head", ASSUMED_EXCHANGE_MS, "assumed"],
    [
      "the push is lost; the next poll is waited for",
      STATE_POLL_PERIOD_MS,
      "constant",
    ],
    [
      "that poll is lost too",
      STATE_CALL_TIMEOUT_MS + STATE_POLL_PERIOD_MS,
      "constants",
    ],
    ["spread of the readers", CONFIGURATION_READ_JITTER_MS, "constant"],
    ["reads the head and the file", 2 * ASSUMED_EXCHANGE_MS, "assumed"],
    ["between regions, twice", 2 * ASSUMED_REGION_MS, "assumed"],
    ["checks the set", parseMs, "measured"],
  ], TARGET.configurationInForceMs);
}

function createUrgentTable(costs: MeasuredCosts): string {
  const placeMs = costs.placementMicroseconds(TARGET_SIZE.queuedJobsPerDomain) /
    MS_PER_SECOND;
  return createWindowTable([
    ["rows of request and job", ASSUMED_EXCHANGE_MS, "assumed"],
    ["notice to the owner", ASSUMED_REGION_MS, "assumed"],
    ["the owner reads the row", ASSUMED_EXCHANGE_MS, "assumed"],
    ["decision", placeMs, "measured"],
    [
      "victims checkpoint, at most",
      RECLAIM_CHECKPOINT_LIMIT_MS,
      "constant",
    ],
    ["next poll of the fleet", SHORTEST_REPORT_PERIOD_MS, "constant"],
    ["stop, hold, placement row, start", 4 * ASSUMED_EXCHANGE_MS, "assumed"],
  ], TARGET.urgentStartMs);
}
