/** The periods and sizes on which an entry's control traffic depends. */
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

/** How many of everything there is. */
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
  /** Declaration files of the set. */
  readonly files: number;
}

/** One owner for each failure domain and one spare entry in each region. */
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

/** A run of `bench:idle`: nothing runs and nothing changes. */
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

/** What may be redesigned. */
export interface Design {
  readonly heartbeatInRegionMs: number;
  readonly heartbeatAcrossRegionsMs: number;
  readonly statePollMs: number;
  /** Whether the head row lists every file, or only the digest of a list kept as an object. */
  readonly headListsFiles: boolean;
  /** Whether rows of all failure domains are watched, or only the region's. */
  readonly watchesAllDomains: boolean;
  readonly entryRenewalMs: number;
  readonly ownershipRenewalMs: number;
  readonly taskRenewalMs: number;
  readonly fleetReportMs: number;
  readonly vmPollMs: number;
  /** Whether an unchanged VM list is answered without the list. */
  readonly vmListIsConditional: boolean;
  /** Whether the list holds only the VMs of the entry's region. */
  readonly vmListIsOfRegion: boolean;
  /** Of a heartbeat, where it is not the one measured now. */
  readonly heartbeatBytes?: number;
  /** Failure domains of the fullest entry for each one of an even share. */
  readonly ownerUnevenness: number;
  readonly renewal: Renewal;
}

/** How the leases of a failure domain's workers are renewed. */
export type Renewal =
  | "command_per_worker"
  | "one_command_with_names"
  | "one_command_for_all";

/** Rendezvous hashing of 4 failure domains over 5 entries gives some entry two in 81% of cases. */
const RENDEZVOUS_UNEVENNESS = 2;

/** What the code does now: its own constants. */
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
  vmListIsOfRegion: false,
  renewal: "one_command_with_names",
  ownerUnevenness: RENDEZVOUS_UNEVENNESS,
};

/** A heartbeat with the names of its fields, as measured before they were left out. */
const EARLIER_HEARTBEAT_BYTES = 162;

/** Before the changes that the ledger brought about. */
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

/** Not built: what would bring the lines under the limit. */
export const PROPOSED_DESIGN: Design = {
  ...PRESENT_DESIGN,
  heartbeatInRegionMs: 2_000,
  heartbeatAcrossRegionsMs: 10_000,
  statePollMs: 4_000,
  watchesAllDomains: false,
  ownershipRenewalMs: 2_000,
  renewal: "one_command_for_all",
  ownerUnevenness: 1,
  vmPollMs: 2_000,
  vmListIsOfRegion: true,
};
