/** Works out an entry's control traffic, processor time and memory from the measured slopes. */
import type { DeploymentSize, Design } from "./design.ts";
import type { MeasuredCosts } from "./costs.ts";
import { computeRenewal } from "./renewal.ts";
import { ASSUMED, TASKS_PER_JOB } from "./target.ts";

const MS_PER_SECOND = 1_000;
const SECONDS_PER_DAY = 86_400;
const MICROSECONDS_PER_SECOND = 1_000_000;
/** Each job is inserted, placed, started and ended: four transactions and summaries. */
const TRANSITIONS_PER_JOB = 4;
const SUMMARY_REFRESH_SECONDS = 30;
const CONFIGURATIONS_HELD = 2;

/** One line of the ledger of a node. */
export interface UsageLine {
  readonly role: string;
  readonly name: string;
  readonly bytesPerSecond: number;
  readonly processorShare: number;
  readonly memoryBytes: number;
  readonly mechanism: string;
  readonly file: string;
}

/** Every line of an entry that is front, mesh member and owner at once. */
export function computeEntryUsage(
  costs: MeasuredCosts,
  design: Design,
  size: DeploymentSize,
): readonly UsageLine[] {
  const owned = size.ownedFailureDomains * design.ownerUnevenness;
  return [
    ...listRuntimeLines(costs),
    ...listMeshLines(costs, design, size),
    ...listStateLines(costs, design, size),
    ...listFrontLines(costs, design, size),
    ...listOwnerLines(costs, design, size).map((line) => ({
      ...line,
      bytesPerSecond: line.bytesPerSecond * owned,
      processorShare: line.processorShare * owned,
      memoryBytes: line.memoryBytes * owned,
    })),
  ];
}

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
  const near = size.entriesInRegion - 1;
  const far = size.entries - size.entriesInRegion;
  const pairsPerSecond = near * MS_PER_SECOND / design.heartbeatInRegionMs +
    far * MS_PER_SECOND / design.heartbeatAcrossRegionsMs;
  const jobsPerSecond = size.jobsPerDay / SECONDS_PER_DAY;
  const summariesPerDomain = 1 / SUMMARY_REFRESH_SECONDS +
    TRANSITIONS_PER_JOB * jobsPerSecond / size.failureDomains;
  const summaries = summariesPerDomain *
    (size.ownedFailureDomains * design.ownerUnevenness * (size.entries - 1) +
      size.failureDomains);
  const file = "packages/node/mesh/mesh_link.ts";
  return [
    {
      role: "mesh member",
      name: `heartbeats with ${size.entries - 1} peers`,
      bytesPerSecond: pairsPerSecond * 2 * costs.frameOf(
        design.heartbeatBytes ?? costs.bytes("mesh_heartbeat"),
      ),
      processorShare: toShare(pairsPerSecond, costs.slope("heartbeat_time")),
      memoryBytes: 0,
      mechanism: "full mesh, one frame each way per period",
      file,
    },
    {
      role: "mesh member",
      name: "summaries of failure domains and notices of jobs",
      bytesPerSecond: summaries * costs.frame("mesh_domain_summary") +
        2 * jobsPerSecond * costs.frame("mesh_job_submitted"),
      processorShare: toShare(summaries, costs.slope("heartbeat_time")),
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
  const list = costs.listBytes(size.files);
  const head = costs.bytes("head_row") + (design.headListsFiles ? list : 0);
  const members = design.watchesAllDomains
    ? size.entries
    : size.entriesInRegion;
  const keys = costs.bytes("table_read_request") * (1 + 2 * domains);
  const rows = head + members * costs.bytes("member_index_entry") +
    costs.bytes("owner_row") +
    domains * (costs.bytes("domain_row") + costs.bytes("owner_row"));
  /** The members' rows come with every second poll. */
  const memberRows = members * costs.bytes("entry_row") / 2;
  const beats = MS_PER_SECOND / design.entryRenewalMs;
  const changes = size.configurationChangesPerDay / SECONDS_PER_DAY;
  return [
    {
      role: "table service",
      name: "poll of the watched rows",
      bytesPerSecond: polls * costs.exchange(keys, rows + memberRows),
      processorShare: toShare(polls, costs.slope("table_read_time")) +
        toShare(
          polls * (2 * domains + members),
          costs.slope("row_decode_time"),
        ),
      memoryBytes: 0,
      mechanism: "one shared read for all controllers",
      file: "packages/node/state/row_watcher.ts",
    },
    {
      role: "table service",
      name: "beat of the entry's row",
      bytesPerSecond: beats * writeRow(costs, "entry_row"),
      processorShare: toShare(beats, costs.slope("table_write_time")),
      memoryBytes: 0,
      mechanism: "conditional write of one row",
      file: "packages/node/membership/membership_controller.ts",
    },
    {
      role: "object store",
      name: "changes of configuration",
      bytesPerSecond: changes * (
        costs.exchange(0, costs.bytes("organisation_file")) +
        (size.entries - 1) * costs.frame("mesh_configuration_accepted") +
        costs.exchange(costs.bytes("table_read_request"), head) +
        (design.headListsFiles ? 0 : costs.exchange(0, list))
      ),
      processorShare: toShare(changes, costs.configurationParseMicroseconds),
      memoryBytes: CONFIGURATIONS_HELD *
          costs.slope("configuration_version_memory") +
        costs.setBytes(size),
      mechanism: "the list and changed files, under their digests",
      file: "packages/node/configuration/chunk_store.ts",
    },
  ];
}

function writeRow(costs: MeasuredCosts, row: string): number {
  return costs.exchange(
    costs.bytes("table_transaction_empty") + costs.bytes(row),
    costs.bytes("table_rows_empty") + costs.bytes(row),
  );
}

function listFrontLines(
  costs: MeasuredCosts,
  design: Design,
  size: DeploymentSize,
): readonly UsageLine[] {
  const vmPolls = MS_PER_SECOND / design.vmPollMs;
  const share = design.vmListIsOfRegion
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
      role: "HTTP front",
      name: `list of ${vms} VMs`,
      bytesPerSecond: vmPolls * costs.exchange(0, 0) +
        fullLists * vms * costs.bytes("vm_record"),
      processorShare: toShare(vmPolls, costs.vmListMicroseconds(0)) +
        toShare(
          fullLists,
          costs.vmListMicroseconds(vms) - costs.vmListMicroseconds(0),
        ),
      memoryBytes: vms * costs.bytes("vm_record"),
      mechanism: design.vmListIsConditional
        ? "poll; an unchanged list is not sent"
        : "poll of the whole list",
      file: "packages/node/upstreams/pool.ts",
    },
    {
      role: "HTTP front",
      name: "operators' applies, this entry's share",
      bytesPerSecond: applies * costs.exchange(costs.setBytes(size), 0),
      processorShare: toShare(applies, costs.configurationParseMicroseconds),
      memoryBytes: costs.setBytes(size),
      mechanism: "the whole set is uploaded",
      file: "packages/node/configuration/apply.ts",
    },
    {
      role: "HTTP front",
      name: "ring of events",
      bytesPerSecond: 0,
      processorShare: 0,
      memoryBytes: ASSUMED.eventRingBytes,
      mechanism: "bounded ring",
      file: "packages/common/events.ts",
    },
  ];
}

/** For one failure domain. */
function listOwnerLines(
  costs: MeasuredCosts,
  design: Design,
  size: DeploymentSize,
): readonly UsageLine[] {
  const beats = MS_PER_SECOND / design.ownershipRenewalMs;
  const renewals = size.workersPerDomain === 0
    ? 0
    : MS_PER_SECOND / design.taskRenewalMs;
  const renewal = computeRenewal(costs, design, size.workersPerDomain);
  const reports = MS_PER_SECOND / design.fleetReportMs;
  const jobs = size.jobsPerDay / SECONDS_PER_DAY / size.failureDomains;
  const tasks = jobs * TASKS_PER_JOB;
  const status = costs.bytes("command_status") + 1;
  const perTaskCommands = costs.bytes("command_hold") +
    costs.bytes("command_start") + costs.bytes("command_stop") + 3 * status;
  const runningJobs = size.tasksPerDomain / TASKS_PER_JOB;
  return [
    {
      role: "owner",
      name: "beat of the lease",
      bytesPerSecond: beats * writeRow(costs, "owner_row"),
      processorShare: toShare(beats, costs.slope("table_write_time")),
      memoryBytes: 0,
      mechanism: "all leases in one transaction",
      file: "packages/node/ownership/owned_leases.ts",
    },
    {
      role: "owner",
      name: `renewals for ${size.workersPerDomain} workers of each`,
      bytesPerSecond: renewals * costs.exchange(
        costs.bytes("command_batch_empty") + renewal.requestBytes,
        renewal.commands * status,
      ),
      processorShare: toShare(
        renewals,
        costs.slope("table_write_time") +
          renewal.renewed * costs.slope("lease_renewal_time"),
      ),
      memoryBytes: 0,
      mechanism: renewal.mechanism,
      file: "packages/node/jobs/fleet_poller.ts",
    },
    {
      role: "owner",
      name: "polls of the fleet's changes",
      bytesPerSecond: reports * costs.exchange(
            costs.bytes("report_request"),
            costs.bytes("report_empty"),
          ) + tasks * TRANSITIONS_PER_JOB * costs.bytes("task_report"),
      processorShare: toShare(reports, costs.slope("fleet_report_time")),
      memoryBytes: 0,
      mechanism: "only what changed since a revision",
      file: "packages/node/jobs/fleet_poller.ts",
    },
    {
      role: "owner",
      name: "holds, starts and stops",
      bytesPerSecond: tasks * perTaskCommands + jobs * 3 * costs.exchange(0, 0),
      processorShare: toShare(jobs * 3, costs.slope("table_write_time")),
      memoryBytes: 0,
      mechanism: "one batch per step of a gang",
      file: "packages/node/jobs/gang_start.ts",
    },
    {
      role: "owner",
      name: "transitions of job rows",
      bytesPerSecond: jobs * TRANSITIONS_PER_JOB *
        writeRow(costs, "job_row_24_tasks"),
      processorShare: toShare(
        jobs * TRANSITIONS_PER_JOB,
        costs.slope("table_write_time"),
      ),
      memoryBytes: runningJobs * costs.slope("running_job_row_memory"),
      mechanism: "one compare-and-set each",
      file: "packages/node/jobs/job_rows.ts",
    },
    {
      role: "owner",
      name: "placement",
      bytesPerSecond: 0,
      processorShare: toShare(
        jobs * TRANSITIONS_PER_JOB,
        costs.placementMicroseconds(size.queuedJobsPerDomain),
      ),
      memoryBytes: size.workersPerDomain *
          costs.slope("engine_worker_memory") +
        runningJobs * costs.slope("engine_job_memory") +
        size.queuedJobsPerDomain * costs.slope("engine_queued_job_memory"),
      mechanism: "incremental engine of one failure domain",
      file: "packages/policy/placement/engine.ts",
    },
  ];
}
