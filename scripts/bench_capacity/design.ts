/**
 * Deployment sizes and design parameters (periods, row layouts, renewal scheme) on which the control
 * traffic of an entry depends; the inputs of `computeEntryUsage`.
 */
import {
  ENTRY_RENEWAL_PERIOD_MS,
  LONGEST_REPORT_PERIOD_MS,
  MESH_HEARTBEAT_PERIOD_MS,
  OWNERSHIP_RENEWAL_PERIOD_MS,
  STATE_POLL_PERIOD_MS,
} from "@coltsfootpond/node";
import { TASK_RENEWAL_PERIOD_MS } from "../../packages/node/jobs/fleet_poller.ts";
import { VM_POLL_PERIOD_MS } from "../../packages/node/upstreams/constants.ts";
import { ASSUMED, TARGET } from "./target.ts";

/** Number of each kind of item in a deployment. */
export interface DeploymentSize {
  readonly entries: number;
  readonly entriesInRegion: number;
  readonly failureDomains: number;
  readonly failureDomainsInRegion: number;
  readonly ownedFailureDomains: number;
  readonly workersPerDomain: number;
  readonly tasksPerDomain: number;
  readonly queuedJobsPerDomain: number;
  readonly runners: number;
  readonly organisations: number;
  readonly jobsPerDay: number;
  readonly configurationChangesPerDay: number;
  readonly vmChangesPerDay: number;
  /** Declaration files of the configuration. */
  readonly files: number;
}

/** One entry to own each failure domain, and one spare entry in each region. */
export const TARGET_ENTRIES = TARGET.failureDomains + TARGET.regions;

export const TARGET_SIZE: DeploymentSize = {
  entries: TARGET_ENTRIES,
  entriesInRegion: Math.ceil(TARGET.failureDomains / TARGET.regions) + 1,
  failureDomains: TARGET.failureDomains,
  failureDomainsInRegion: Math.ceil(TARGET.failureDomains / TARGET.regions),
  ownedFailureDomains: 1,
  workersPerDomain: Math.ceil(TARGET.workers / TARGET.failureDomains),
  tasksPerDomain: Math.ceil(TARGET.runningTasks / TARGET.failureDomains),
  queuedJobsPerDomain: Math.ceil(ASSUMED.queuedJobs / TARGET.failureDomains),
  runners: ASSUMED.runners,
  organisations: TARGET.organisations,
  jobsPerDay: TARGET.jobsPerDay,
  configurationChangesPerDay: TARGET.configurationChangesPerDay,
  vmChangesPerDay: TARGET.vmRestartsPerDay + TARGET.vmFailuresPerDay,
  files: TARGET.organisations + TARGET.failureDomains + 1,
};

/** Size of the deployment that `bench:idle` starts: no jobs run and the configuration doesn't change. */
export function createIdleSize(entries: number): DeploymentSize {
  return {
    entries,
    entriesInRegion: entries,
    failureDomains: 3,
    failureDomainsInRegion: 3,
    ownedFailureDomains: 1,
    workersPerDomain: 0,
    tasksPerDomain: 0,
    queuedJobsPerDomain: 0,
    runners: 30,
    organisations: 4,
    jobsPerDay: 0,
    configurationChangesPerDay: 0,
    vmChangesPerDay: 0,
    files: 4,
  };
}

/** Parameters of the control traffic that a redesign can change. */
export interface Design {
  readonly heartbeatInRegionMs: number;
  readonly heartbeatAcrossRegionsMs: number;
  readonly statePollMs: number;
  /** Whether the head row lists every file, or only the digest of a list in the object store. */
  readonly headListsFiles: boolean;
  /** Whether an entry watches the rows of all failure domains, or only those of its region. */
  readonly watchesAllDomains: boolean;
  readonly entryRenewalMs: number;
  readonly ownershipRenewalMs: number;
  readonly taskRenewalMs: number;
  readonly fleetReportMs: number;
  readonly vmPollMs: number;
  /** Whether the answer to a VM poll omits the list when it is unchanged. */
  readonly vmListIsConditional: boolean;
  /** Whether the list contains only the VMs of the entry's region. */
  readonly vmListIsRegional: boolean;
  /** Encoded size of a heartbeat where it differs from the measured one. */
  readonly heartbeatBytes?: number;
  /** Failure domains of the entry that owns most, as a multiple of an even share. */
  readonly ownerImbalance: number;
  readonly renewal: RenewalScheme;
}

/** How the leases of a failure domain's workers are renewed. */
export type RenewalScheme =
  | "command_per_worker"
  | "one_command_with_names"
  | "one_command_for_all";

/** Rendezvous hashing of 4 failure domains over 5 entries assigns two to one entry in 81% of cases. */
const RENDEZVOUS_IMBALANCE = 2;

/** The current design, from the constants of the code. */
export const PRESENT_DESIGN: Design = {
  heartbeatInRegionMs: MESH_HEARTBEAT_PERIOD_MS,
  heartbeatAcrossRegionsMs: MESH_HEARTBEAT_PERIOD_MS,
  statePollMs: STATE_POLL_PERIOD_MS,
  headListsFiles: false,
  watchesAllDomains: true,
  entryRenewalMs: ENTRY_RENEWAL_PERIOD_MS,
  ownershipRenewalMs: OWNERSHIP_RENEWAL_PERIOD_MS,
  taskRenewalMs: TASK_RENEWAL_PERIOD_MS,
  fleetReportMs: LONGEST_REPORT_PERIOD_MS,
  vmPollMs: VM_POLL_PERIOD_MS,
  vmListIsConditional: true,
  vmListIsRegional: false,
  renewal: "one_command_with_names",
  ownerImbalance: RENDEZVOUS_IMBALANCE,
};

/** Measured size of a heartbeat when it was still encoded with its field names. */
const EARLIER_HEARTBEAT_BYTES = 162;

/** Design before the changes that the computed usage led to. */
export const EARLIER_DESIGN: Design = {
  ...PRESENT_DESIGN,
  headListsFiles: true,
  vmListIsConditional: false,
  fleetReportMs: 500,
  heartbeatInRegionMs: 500,
  heartbeatAcrossRegionsMs: 500,
  vmPollMs: 500,
  renewal: "command_per_worker",
  heartbeatBytes: EARLIER_HEARTBEAT_BYTES,
};

/** Not implemented: changes that would bring the usage below the limits. */
export const PROPOSED_DESIGN: Design = {
  ...PRESENT_DESIGN,
  heartbeatInRegionMs: 2_000,
  heartbeatAcrossRegionsMs: 10_000,
  statePollMs: 4_000,
  watchesAllDomains: false,
  ownershipRenewalMs: 2_000,
  renewal: "one_command_for_all",
  ownerImbalance: 1,
  vmPollMs: 2_000,
  vmListIsRegional: true,
};
