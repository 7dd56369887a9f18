/**
 * Computes the resource usage of an entry (control traffic, processor time, memory) line by line, from
 * the measured slopes and message sizes, a design and a deployment size.
 */
import type { DeploymentSize, Design } from "./design.ts";
import type { MeasuredCosts } from "./costs.ts";
import { computeRenewal } from "./renewal.ts";
import { ASSUMED, TASKS_PER_JOB } from "./target.ts";

const MS_PER_SECOND = 1_000;
const SECONDS_PER_DAY = 86_400;
const MICROSECONDS_PER_SECOND = 1_000_000;
/** Each job is inserted, placed, started and ended, each with one transaction and one domain summary. */
const TRANSITIONS_PER_JOB = 4;
/** An owner sends a domain summary on each change and at this period. */
const SUMMARY_REFRESH_SECONDS = 30;
/** Parsed configuration versions that an entry keeps at the same time. */
const CONFIGURATIONS_IN_MEMORY = 2;

/** One line of the computed resource usage, which the table keys of the page call a ledger. */
export interface UsageLine {
  /** Role of the entry, or platform service, that causes the usage. */
  readonly role: string;
  readonly name: string;
  readonly bytesPerSecond: number;
  /** Share of one processor core. */
  readonly processorShare: number;
  readonly memoryBytes: number;
  readonly mechanism: string;
  /** Path of the source file that implements the mechanism. */
  readonly file: string;
}

/** All lines of an entry that serves HTTP requests, takes part in the mesh and owns failure domains. */
export function computeEntryUsage(
  costs: MeasuredCosts,
  design: Design,
  size: DeploymentSize,
): readonly UsageLine[] {
  const owned = size.ownedFailureDomains * design.ownerImbalance;
  return [
    ...listRuntimeLines(costs),
    ...listMeshLines(costs, design, size),
    ...listStateLines(costs, design, size),
    ...listHttpLines(costs, design, size),
    ...listOwnerLines(costs, design, size).map((line) => ({
      ...line,
      bytesPerSecond: line.bytesPerSecond * owned,
      processorShare: line.processorShare * owned,
      memoryBytes: line.memoryBytes * owned,
    })),
  ];
}

/** Share of one core for an operation of the given duration. */
function toShare(perSecond: number, microseconds: number): number {
  return perSecond * microseconds / MICROSECONDS_PER_SECOND;
}

function listRuntimeLines(costs: MeasuredCosts): readonly UsageLine[] {
  return [{
    role: "every entry",
    name: "Node.js with the program, nothing stored",
    bytesPerSecond: 0,
    processorShare: costs.unexplainedProcessorShare,
    memoryBytes: costs.idleResidentBytes,
    mechanism: "one process",
    file: "apps/coltsfootpondd/main.ts",
  }];
}

function listMeshLines(
  costs: MeasuredCosts,
  design: Design,
  size: DeploymentSize,
): readonly UsageLine[] {
  const peersInRegion = size.entriesInRegion - 1;
  const peersInOtherRegions = size.entries - size.entriesInRegion;
  const pairsPerSecond =
    peersInRegion * MS_PER_SECOND / design.heartbeatInRegionMs +
    peersInOtherRegions * MS_PER_SECOND / design.heartbeatAcrossRegionsMs;
  const jobsPerSecond = size.jobsPerDay / SECONDS_PER_DAY;
  const summariesPerDomain = 1 / SUMMARY_REFRESH_SECONDS +
    TRANSITIONS_PER_JOB * jobsPerSecond / size.failureDomains;
  const summaries = summariesPerDomain *
    (size.ownedFailureDomains * design.ownerImbalance * (size.entries - 1) +
      size.failureDomains);
  const file = "packages/node/mesh/mesh_link.ts";
  return [
    {
      role: "mesh",
      name: `heartbeats with ${size.entries - 1} peers`,
      bytesPerSecond: pairsPerSecond * 2 * costs.addFrameBytes(
        design.heartbeatBytes ?? costs.bytes("mesh_heartbeat"),
      ),
      processorShare: toShare(pairsPerSecond, costs.getSlope("heartbeat_time")),
      memoryBytes: 0,
      mechanism: "full mesh, one frame each way per period",
      file,
    },
    {
      role: "mesh",
      name: "summaries of failure domains and notices of jobs",
      bytesPerSecond:
        summaries * costs.getFramedMessageBytes("mesh_domain_summary") +
        2 * jobsPerSecond * costs.getFramedMessageBytes("mesh_job_submitted"),
      processorShare: toShare(summaries, costs.getSlope("heartbeat_time")),
      memoryBytes: 0,
      mechanism: "sent on change, and every 30 s",
      file: "packages/node/jobs/jobs_controller.ts",
    },
  ];
}

function listStateLines(
  costs: MeasuredCosts,
  design: Design,
  size: DeploymentSize,
): readonly UsageLine[] {
  const polls = MS_PER_SECOND / design.statePollMs;
  const domains = design.watchesAllDomains
    ? size.failureDomains
    : size.failureDomainsInRegion;
  const list = costs.getConfigurationListBytes(size.files);
  const head = costs.bytes("head_row") + (design.headListsFiles ? list : 0);
  const members = design.watchesAllDomains
    ? size.entries
    : size.entriesInRegion;
  const keys = costs.bytes("table_read_request") * (1 + 2 * domains);
  const rows = head + members * costs.bytes("member_index_entry") +
    costs.bytes("owner_row") +
    domains * (costs.bytes("domain_row") + costs.bytes("owner_row"));
  // Every second poll also reads the rows of the members.
  const memberRows = members * costs.bytes("entry_row") / 2;
  const entryRenewals = MS_PER_SECOND / design.entryRenewalMs;
  const changes = size.configurationChangesPerDay / SECONDS_PER_DAY;
  return [
    {
      role: "table service",
      name: "poll of the watched rows",
      bytesPerSecond: polls * costs.getExchangeBytes(keys, rows + memberRows),
      processorShare: toShare(polls, costs.getSlope("table_read_time")) +
        toShare(
          polls * (2 * domains + members),
          costs.getSlope("row_decode_time"),
        ),
      memoryBytes: 0,
      mechanism: "one shared read for all controllers",
      file: "packages/node/state/row_watcher.ts",
    },
    {
      role: "table service",
      name: "renewal of the entry's row",
      bytesPerSecond: entryRenewals * getRowWriteBytes(costs, "entry_row"),
      processorShare: toShare(
        entryRenewals,
        costs.getSlope("table_write_time"),
      ),
      memoryBytes: 0,
      mechanism: "conditional write of one row",
      file: "packages/node/membership/membership_controller.ts",
    },
    {
      role: "object store",
      name: "configuration changes",
      bytesPerSecond: changes * (
        costs.getExchangeBytes(0, costs.bytes("organisation_file")) +
        (size.entries - 1) *
          costs.getFramedMessageBytes("mesh_configuration_accepted") +
        costs.getExchangeBytes(costs.bytes("table_read_request"), head) +
        (design.headListsFiles ? 0 : costs.getExchangeBytes(0, list))
      ),
      processorShare: toShare(changes, costs.configurationParseMicroseconds),
      memoryBytes: CONFIGURATIONS_IN_MEMORY *
          costs.getSlope("configuration_version_memory") +
        costs.getDeclarationBytes(size),
      mechanism: "the list and changed files, by their digests",
      file: "packages/node/configuration/chunk_store.ts",
    },
  ];
}

/** Bytes of a transaction that writes one row, with its answer. */
function getRowWriteBytes(costs: MeasuredCosts, row: string): number {
  return costs.getExchangeBytes(
    costs.bytes("table_transaction_empty") + costs.bytes(row),
    costs.bytes("table_rows_empty") + costs.bytes(row),
  );
}

function listHttpLines(
  costs: MeasuredCosts,
  design: Design,
  size: DeploymentSize,
): readonly UsageLine[] {
  const vmPolls = MS_PER_SECOND / design.vmPollMs;
  const share = design.vmListIsRegional
    ? size.entriesInRegion / size.entries
    : 1;
  const vms = Math.ceil((size.runners + size.entries) * share);
  const vmChanges = size.vmChangesPerDay * share / SECONDS_PER_DAY;
  const fullLists = design.vmListIsConditional
    ? Math.min(vmChanges, vmPolls)
    : vmPolls;
  const applies = size.configurationChangesPerDay / SECONDS_PER_DAY /
    size.entries;
  return [
    {
      role: "request routes",
      name: `list of ${vms} VMs`,
      bytesPerSecond: vmPolls * costs.getExchangeBytes(0, 0) +
        fullLists * vms * costs.bytes("vm_record"),
      processorShare: toShare(vmPolls, costs.getVmListMicroseconds(0)) +
        toShare(
          fullLists,
          costs.getVmListMicroseconds(vms) - costs.getVmListMicroseconds(0),
        ),
      memoryBytes: vms * costs.bytes("vm_record"),
      mechanism: design.vmListIsConditional
        ? "poll; an unchanged list is not sent"
        : "poll of the whole list",
      file: "packages/node/upstreams/pool.ts",
    },
    {
      role: "request routes",
      name: "operators' applies, this entry's share",
      bytesPerSecond: applies *
        costs.getExchangeBytes(costs.getDeclarationBytes(size), 0),
      processorShare: toShare(applies, costs.configurationParseMicroseconds),
      memoryBytes: costs.getDeclarationBytes(size),
      mechanism: "all declaration files are uploaded",
      file: "packages/node/configuration/apply.ts",
    },
    {
      role: "request routes",
      name: "event ring buffer",
      bytesPerSecond: 0,
      processorShare: 0,
      memoryBytes: ASSUMED.eventRingBytes,
      mechanism: "ring buffer of fixed size",
      file: "packages/common/events.ts",
    },
  ];
}

/** Lines of the owner for one failure domain. */
function listOwnerLines(
  costs: MeasuredCosts,
  design: Design,
  size: DeploymentSize,
): readonly UsageLine[] {
  const ownershipRenewals = MS_PER_SECOND / design.ownershipRenewalMs;
  const workerRenewals = size.workersPerDomain === 0
    ? 0
    : MS_PER_SECOND / design.taskRenewalMs;
  const renewal = computeRenewal(costs, design, size.workersPerDomain);
  const reports = MS_PER_SECOND / design.fleetReportMs;
  const jobs = size.jobsPerDay / SECONDS_PER_DAY / size.failureDomains;
  const tasks = jobs * TASKS_PER_JOB;
  const status = costs.bytes("command_status") + 1;
  const commandBytesPerTask = costs.bytes("command_hold") +
    costs.bytes("command_start") + costs.bytes("command_stop") + 3 * status;
  const runningJobs = size.tasksPerDomain / TASKS_PER_JOB;
  return [
    {
      role: "owner",
      name: "renewal of the ownership leases",
      bytesPerSecond: ownershipRenewals * getRowWriteBytes(costs, "owner_row"),
      processorShare: toShare(
        ownershipRenewals,
        costs.getSlope("table_write_time"),
      ),
      memoryBytes: 0,
      mechanism: "all leases in one transaction",
      file: "packages/node/ownership/owned_leases.ts",
    },
    {
      role: "owner",
      name:
        `lease renewals of ${size.workersPerDomain} workers for each domain`,
      bytesPerSecond: workerRenewals * costs.getExchangeBytes(
        costs.bytes("command_batch_empty") + renewal.requestBytes,
        renewal.commands * status,
      ),
      processorShare: toShare(
        workerRenewals,
        costs.getSlope("table_write_time") +
          renewal.renewed * costs.getSlope("lease_renewal_time"),
      ),
      memoryBytes: 0,
      mechanism: renewal.mechanism,
      file: "packages/node/jobs/fleet_poller.ts",
    },
    {
      role: "owner",
      name: "polls of the fleet report",
      bytesPerSecond: reports * costs.getExchangeBytes(
            costs.bytes("report_request"),
            costs.bytes("report_empty"),
          ) + tasks * TRANSITIONS_PER_JOB * costs.bytes("task_report"),
      processorShare: toShare(reports, costs.getSlope("fleet_report_time")),
      memoryBytes: 0,
      mechanism: "only what changed since a revision",
      file: "packages/node/jobs/fleet_poller.ts",
    },
    {
      role: "owner",
      name: "holds, starts and stops",
      bytesPerSecond: tasks * commandBytesPerTask +
        jobs * 3 * costs.getExchangeBytes(0, 0),
      processorShare: toShare(jobs * 3, costs.getSlope("table_write_time")),
      memoryBytes: 0,
      mechanism: "one batch for each step of a gang's start or stop",
      file: "packages/node/jobs/gang_start.ts",
    },
    {
      role: "owner",
      name: "transitions of job rows",
      bytesPerSecond: jobs * TRANSITIONS_PER_JOB *
        getRowWriteBytes(costs, "job_row_24_tasks"),
      processorShare: toShare(
        jobs * TRANSITIONS_PER_JOB,
        costs.getSlope("table_write_time"),
      ),
      memoryBytes: runningJobs * costs.getSlope("running_job_row_memory"),
      mechanism: "one compare-and-set for each",
      file: "packages/node/jobs/job_rows.ts",
    },
    {
      role: "owner",
      name: "placement",
      bytesPerSecond: 0,
      processorShare: toShare(
        jobs * TRANSITIONS_PER_JOB,
        costs.getPlacementMicroseconds(size.queuedJobsPerDomain),
      ),
      memoryBytes: size.workersPerDomain *
          costs.getSlope("engine_worker_memory") +
        runningJobs * costs.getSlope("engine_job_memory") +
        size.queuedJobsPerDomain * costs.getSlope("engine_queued_job_memory"),
      mechanism: "incremental engine of one failure domain",
      file: "packages/policy/placement/engine.ts",
    },
  ];
}
