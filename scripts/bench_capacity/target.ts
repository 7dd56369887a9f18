/** The deployment size and limits to design for, and the assumptions where they give no figure. */

/** Figures that the design has to meet. */
export const TARGET = {
  workers: 3_900,
  accelerators: 5_100,
  jobsPerDay: 6_700,
  runningTasks: 40_000,
  largestGang: 256,
  organisations: 72,
  urgentStartMs: 3_200,
  regions: 4,
  failureDomains: 14,
  configurationChangesPerDay: 2_100,
  configurationInForceMs: 16_000,
  processorShare: 0.02,
  memoryBytes: 256_000_000,
  controlBytesPerSecond: 6_000,
  vmFailuresPerDay: 29,
  vmRestartsPerDay: 1_500,
  tableWritesPerSecond: 300,
  tableReadsPerSecond: 2_000,
} as const;

/** Assumptions where the target gives no figure. */
export const ASSUMED = {
  workersPerRack: 8,
  /** Mean run time of a job; the target only says "most running for hours". */
  meanRunHours: 6,
  servicesPerOrganisation: 5,
  guaranteesPerOrganisation: 2,
  /** Runners of the call services in all regions: the present 30 for each failure domain. */
  runners: 420,
  /** IPv4 and TCP headers with time stamps, per packet. */
  packetHeaderBytes: 52,
  /** Queued jobs in all failure domains at worst: the jobs of one day. */
  queuedJobs: 6_700,
  /** Memory of 4,096 timeline events of about 500 bytes. */
  eventRingBytes: 2_048_000,
} as const;

/** Jobs that run at the same time, by Little's law. */
export const RUNNING_JOBS = TARGET.jobsPerDay * ASSUMED.meanRunHours / 24;
export const TASKS_PER_JOB = TARGET.runningTasks / RUNNING_JOBS;
