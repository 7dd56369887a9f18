/**
 * Deterministic records, rows and declaration files of the target deployment's shape, on which the
 * slopes and message sizes are measured.
 */
import {
  type AttemptId,
  brandId,
  type DeclarationFile,
  type Digest,
  type FailureDomainName,
  type JobId,
  type OrganisationName,
  type RackName,
  type RequestId,
  type Resources,
  type ServiceName,
  type WorkerName,
  type WriteId,
} from "@coltsfootpond/common";
import type { JobRow } from "@coltsfootpond/node";
import type { TableRow, TaskReport } from "@coltsfootpond/ports";
import type {
  Assignment,
  EngineJob,
  EngineWorker,
} from "@coltsfootpond/policy";
import { createHash } from "node:crypto";
import { ASSUMED } from "./target.ts";

const WORKER_RESOURCES: Resources = {
  milliprocessors: 130_000,
  memoryMib: 500_000,
  accelerators: 8,
};
/**
 * One worker in six has 8 accelerators: the target has 1.3 accelerators and 10 tasks per worker, so
 * most tasks use none.
 */
const WORKERS_PER_ACCELERATED_WORKER = 6;
const QUOTA: Resources = {
  milliprocessors: 20_000_000,
  memoryMib: 80_000_000,
  accelerators: 500,
};
const TASK_RESOURCES: Resources = {
  milliprocessors: 8_000,
  memoryMib: 30_000,
  accelerators: 0,
};
const HEX_ID_LENGTH = 32;

/** SHA-256 of the text in hex. */
export function createDigest(text: string): Digest {
  return brandId(createHash("sha256").update(text).digest("hex"));
}

function createHexId(text: string): string {
  return createDigest(text).slice(0, HEX_ID_LENGTH);
}

/** Failure domain of all workers, tasks and jobs below. */
export const FAILURE_DOMAIN = brandId<FailureDomainName>("schwabmuenchen");

export function createWorkerName(index: number): WorkerName {
  const rack = Math.floor(index / ASSUMED.workersPerRack);
  const position = index % ASSUMED.workersPerRack;
  return brandId(`${FAILURE_DOMAIN}-r${rack}-w${position}`);
}

export function createWorker(index: number): EngineWorker {
  const rack = Math.floor(index / ASSUMED.workersPerRack);
  return {
    name: createWorkerName(index),
    rack: brandId<RackName>(`${FAILURE_DOMAIN}-r${rack}`),
    resources: {
      ...WORKER_RESOURCES,
      accelerators: index % WORKERS_PER_ACCELERATED_WORKER === 0 ? 8 : 0,
    },
  };
}

export function createJobId(index: number): JobId {
  return brandId(
    `${createOrganisationName(index)}/${createHexId(`job ${index}`)}`,
  );
}

function createOrganisationName(index: number): OrganisationName {
  return brandId(`organisation-${index % 72}`);
}

/** A gang of the given number of tasks that use no accelerators, with an expected run of 6 hours. */
export function createQueuedJob(index: number, tasks: number): EngineJob {
  return {
    jobId: createJobId(index),
    organisation: createOrganisationName(index),
    service: brandId<ServiceName>(`service-${index % 360}`),
    shape: { tasks, perTask: { ...TASK_RESOURCES }, adjacency: "rack" },
    priority: "normal",
    expectedRunMs: 21_600_000,
    maximumRunMs: 86_400_000,
    canCheckpoint: true,
    checkpointMs: 2_000,
    idempotent: true,
    waitedMs: 0,
  };
}

/** Assigns 8 tasks to each worker, from the given worker on. */
export function createAssignments(
  firstWorker: number,
  tasks: number,
): readonly Assignment[] {
  return Array.from({ length: tasks }, (_, index) => ({
    index,
    worker: createWorkerName(firstWorker + Math.floor(index / 8)),
  }));
}

export function createTaskReport(index: number): TaskReport {
  return {
    task: {
      jobId: createJobId(Math.floor(index / 24)),
      attemptId: brandId<AttemptId>(createHexId(`attempt ${index}`)),
      index: index % 24,
    },
    worker: createWorkerName(index % 280),
    state: "running",
    resources: { ...TASK_RESOURCES },
    runMs: 1_000_000 + index,
    used: { milliprocessors: 7_321, memoryMib: 28_400, accelerators: 1 },
  };
}

/** Row of a running job with its assignments. */
export function createJobRow(index: number, tasks: number): JobRow {
  const job = createQueuedJob(index, tasks);
  return {
    jobId: job.jobId,
    organisation: job.organisation,
    requestId: brandId<RequestId>(createHexId(`job ${index}`)),
    service: job.service,
    bodyDigest: createDigest(`body ${index}`),
    payload: "x".repeat(200),
    state: "running",
    attempts: 1,
    failures: 0,
    moves: 0,
    attemptId: brandId<AttemptId>(createHexId(`attempt ${index}`)),
    assignments: createAssignments(index * 3, tasks),
    waitedMs: 1_234,
  };
}

/** The row of `createJobRow` as the table service returns it. */
export function createJobTableRow(index: number, tasks: number): TableRow {
  const row = createJobRow(index, tasks);
  return {
    key: `job/${FAILURE_DOMAIN}/${row.jobId}`,
    version: 3,
    writeId: brandId<WriteId>(createHexId(`write ${index}`)),
    value: JSON.parse(JSON.stringify(row)),
  };
}

/** Number of items in a generated configuration. */
export interface DeclarationSizes {
  readonly organisations: number;
  readonly failureDomains: number;
  readonly workers: number;
}

/** One TOML file for the operators, one for each organisation and one for each failure domain. */
export function createDeclarationFiles(
  sizes: DeclarationSizes,
): readonly DeclarationFile[] {
  const workersPerDomain = Math.ceil(sizes.workers / sizes.failureDomains);
  return [
    {
      name: "operators.toml",
      text: `operator_token_digests = ["${createDigest("operator")}"]\n`,
    },
    ...Array.from({ length: sizes.organisations }, (_, index) => ({
      name: `organisation-${index}.toml`,
      text: createOrganisationText(index),
    })),
    ...Array.from({ length: sizes.failureDomains }, (_, index) => ({
      name: `domain-${index}.toml`,
      text: createFailureDomainText(index, workersPerDomain),
    })),
  ];
}

function createOrganisationText(index: number): string {
  const name = `organisation-${index}`;
  const services = Array.from(
    { length: ASSUMED.servicesPerOrganisation },
    (_, service) => createServiceText(name, index * 5 + service),
  );
  const guarantees = Array.from(
    { length: ASSUMED.guaranteesPerOrganisation },
    (_, guarantee) => createGuaranteeText(name, guarantee),
  );
  return [
    "[[organisations]]",
    `name = "${name}"`,
    `token_digest = "${createDigest(name)}"`,
    "weight = 1.0",
    `quota = ${createResourcesText(QUOTA)}`,
    "requests_per_second = 50",
    "concurrent_requests = 500",
    "queued_jobs = 1000",
    ...services,
    ...guarantees,
    "",
  ].join("\n");
}

function createResourcesText(resources: Resources): string {
  const { milliprocessors, memoryMib, accelerators } = resources;
  return `{ milliprocessors = ${milliprocessors}, memory_mib = ${memoryMib}, accelerators = ${accelerators} }`;
}

function createServiceText(organisation: string, index: number): string {
  return [
    "",
    "[[services]]",
    `name = "service-${index}"`,
    'kind = "job"',
    `organisations = ["${organisation}"]`,
    "idempotent = true",
    "maximum_body_bytes = 65536",
    'priority = "normal"',
    "expected_run_ms = 21600000",
    "maximum_run_ms = 86400000",
    "can_checkpoint = true",
    "checkpoint_ms = 2000",
    "[services.shape]",
    "tasks = 24",
    'adjacency = "rack"',
    `per_task = ${createResourcesText(TASK_RESOURCES)}`,
  ].join("\n");
}

function createGuaranteeText(organisation: string, index: number): string {
  return [
    "",
    "[[guarantees]]",
    `name = "${organisation}-${index}"`,
    `organisation = "${organisation}"`,
    "count = 1",
    "survives_domain_loss = true",
    `shape = { tasks = 8, adjacency = "rack", per_task = ${
      createResourcesText(TASK_RESOURCES)
    } }`,
  ].join("\n");
}

function createFailureDomainText(index: number, workers: number): string {
  const racks = Math.ceil(workers / ASSUMED.workersPerRack);
  return [
    "[[failure_domains]]",
    `name = "domain-${index}"`,
    `region = "region-${index % 4}"`,
    "drain_ms = 5000",
    ...Array.from({ length: racks }, (_, rack) =>
      [
        "[[failure_domains.racks]]",
        `name = "domain-${index}-r${rack}"`,
        `workers = { prefix = "domain-${index}-r${rack}-w", count = ${
          Math.min(ASSUMED.workersPerRack, workers - rack * 8)
        } }`,
        `resources = ${createResourcesText(WORKER_RESOURCES)}`,
      ].join("\n")),
    "",
  ].join("\n");
}
