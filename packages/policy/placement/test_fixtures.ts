/** Builders of engine events and declarations, for tests and benchmarks. */
import {
  type Adjacency,
  brandId,
  type GuaranteeDeclaration,
  type OrganisationDeclaration,
  type Priority,
  type RackName,
  type Shape,
  type WorkerName,
} from "@coltsfootpond/common";
import type { EngineEvent, EngineJob } from "../types.ts";

const MILLIPROCESSORS_PER_ACCELERATOR = 16_000;
const MEMORY_MIB_PER_ACCELERATOR = 62_500;

/** A shape whose tasks have processors and memory in proportion to their accelerators. */
export function createShape(
  tasks: number,
  accelerators: number,
  adjacency: Adjacency,
): Shape {
  return {
    tasks,
    adjacency,
    perTask: {
      milliprocessors: Math.max(
        1_000,
        accelerators * MILLIPROCESSORS_PER_ACCELERATOR,
      ),
      memoryMib: Math.max(1_024, accelerators * MEMORY_MIB_PER_ACCELERATOR),
      accelerators,
    },
  };
}

/** Fields of a test job; all but `id` have defaults. */
export interface JobOptions {
  readonly id: string;
  readonly organisation?: string;
  readonly service?: string;
  readonly accelerators?: number;
  readonly shape?: Shape;
  readonly priority?: Priority;
  readonly expectedRunMs?: number;
  readonly maximumRunMs?: number;
  readonly canCheckpoint?: boolean;
  readonly idempotent?: boolean;
}

export function createJob(options: JobOptions): EngineJob {
  const expectedRunMs = options.expectedRunMs ?? 600_000;
  return {
    jobId: brandId(`job/${options.id}`),
    organisation: brandId(options.organisation ?? "gas"),
    service: brandId(options.service ?? "quote"),
    shape: options.shape ??
      createShape(1, options.accelerators ?? 1, "failure_domain"),
    priority: options.priority ?? "normal",
    expectedRunMs,
    maximumRunMs: options.maximumRunMs ?? 4 * expectedRunMs,
    canCheckpoint: options.canCheckpoint ?? false,
    checkpointMs: 1_000,
    idempotent: options.idempotent ?? true,
    waitedMs: 0,
  };
}

export function createGuarantee(
  name: string,
  organisation: string,
  shape: Shape,
  options: Partial<GuaranteeDeclaration> = {},
): GuaranteeDeclaration {
  return {
    name: brandId(name),
    organisation: brandId(organisation),
    shape,
    count: 1,
    survivesDomainLoss: false,
    ...options,
  };
}

export function createOrganisation(
  name: string,
  options: Partial<OrganisationDeclaration> = {},
): OrganisationDeclaration {
  return {
    name: brandId(name),
    tokenDigest: brandId(""),
    weight: 1,
    quota: {
      milliprocessors: Number.MAX_SAFE_INTEGER,
      memoryMib: Number.MAX_SAFE_INTEGER,
      accelerators: Number.MAX_SAFE_INTEGER,
    },
    requestsPerSecond: 1_000,
    concurrentRequests: 1_000,
    queuedJobs: 100_000,
    ...options,
  };
}

/** `worker_up` events for whole racks of workers with 8 accelerators each. */
export function createWorkers(
  racks: number,
  workersPerRack: number,
): EngineEvent[] {
  const { perTask } = createShape(1, 8, "worker");
  return Array.from({ length: racks * workersPerRack }, (_, index) => {
    const rack = Math.floor(index / workersPerRack);
    const worker = {
      name: brandId<WorkerName>(`worker-${rack}-${index % workersPerRack}`),
      rack: brandId<RackName>(`rack-${rack}`),
      resources: {
        milliprocessors: perTask.milliprocessors + 2_000,
        memoryMib: perTask.memoryMib + 12_000,
        accelerators: perTask.accelerators,
      },
    };
    return { kind: "worker_up", worker } as const;
  });
}
