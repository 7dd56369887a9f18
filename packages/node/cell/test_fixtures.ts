/** Small jobs and a store in memory for the tests of the cell. */
import type {
  ManualClock,
  OrganisationName,
  ServiceName,
} from "@coltsfootpond/common";
import {
  type CellJobId,
  type CellJobSpec,
  JobProgress,
  type QueueName,
  type StepSpec,
} from "@coltsfootpond/policy";
import type {
  DeclaredState,
  QueueDeclaration,
  StateRow,
  StateStore,
  StateTransaction,
  TransactOutcome,
} from "@coltsfootpond/ports";
import type { QueueCall } from "./callers/access/job_access.ts";
import { LiveJob, type OtherRuns } from "./live_job.ts";
import { SILENT_LOG } from "./log.ts";
import { SeenVersion, TableFollower } from "./table_follower.ts";

/** A step with one task that needs one accelerator. */
export function createStep(overrides: Partial<StepSpec> = {}): StepSpec {
  return {
    count: 1,
    need: { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 1 },
    estimateMs: 1_000,
    after: [],
    savesProgress: false,
    isGang: false,
    isRackBound: false,
    requiredLabel: undefined,
    dataRack: undefined,
    maximumPerWorker: undefined,
    isPersistent: false,
    isFiller: false,
    ...overrides,
  };
}

/** A job with one step. */
export function createSpec(
  jobId: string,
  overrides: Partial<CellJobSpec> = {},
): CellJobSpec {
  return {
    jobId: jobId as CellJobId,
    queue: "queue" as QueueName,
    service: "service" as ServiceName,
    organisation: undefined,
    priority: 1,
    maximumAttempts: 3,
    stretch: 2,
    allowanceMs: 1_000,
    acceptedUnixMs: 0,
    payload: "payload",
    steps: [createStep()],
    recurrence: undefined,
    ...overrides,
  };
}

/** A queue that asks for a key. */
export function createQueue(
  overrides: Partial<QueueDeclaration> = {},
): QueueDeclaration {
  return {
    queue: "queue" as QueueName,
    service: "service" as ServiceName,
    host: "queue.example",
    pathPrefix: "/queue/",
    isPublic: false,
    requiresTicket: false,
    priority: 1,
    maximumAttempts: 3,
    stretch: 2,
    allowanceMs: 1_000,
    timeoutMs: 3_000,
    ...overrides,
  };
}

/** A declared state with these queues and the API keys of each organisation. */
export function createDeclaredState(
  queues: readonly QueueDeclaration[],
  keys: Readonly<Record<string, readonly string[]>>,
  version = 1,
): DeclaredState {
  const organisations = Object.keys(keys) as OrganisationName[];
  return {
    version,
    queues,
    organisationByApiKey: new Map(
      organisations.flatMap((organisation) =>
        keys[organisation]!.map((key) => [key, organisation] as const)
      ),
    ),
    guarantees: organisations.map((organisation) => ({
      organisation,
      accelerators: 0,
    })),
    shares: organisations.map((organisation) => ({
      organisation,
      weight: undefined,
      quota: undefined,
    })),
    services: new Set(queues.map(({ service }) => service)),
    capacityEnforcingServices: new Set(),
    limits: {
      headerBytes: 8_192,
      bodyBytes: 65_536,
      headerTimeoutMs: 5_000,
      keepAliveMs: 5_000,
    },
  };
}

/** A call of the queue that asks for a key, with the key of one of two organisations. */
export function createQueueCall(organisation: "owner" | "other"): QueueCall {
  const queue = createQueue();
  const keys = { owner: ["key of owner"], other: ["key of other"] };
  const state = createDeclaredState([queue], keys);
  return { state, queue, key: keys[organisation][0] };
}

/** A live job of which no row is stored. */
export function createJob(
  jobId: string,
  overrides: Partial<CellJobSpec> = {},
): LiveJob {
  const spec = createSpec(jobId, overrides);
  return LiveJob.create({
    spec,
    progress: JobProgress.create(spec),
    rowVersion: 0,
    progressVersion: 0,
  });
}

/** For placements of jobs without strays, when all workers have reported. */
export const NO_OTHER_RUNS: OtherRuns = {
  isUnreported: () => false,
  strayWorkers: new Map(),
};

/** A copy of the state table that reads the store only when the test calls it. */
export function createFollower(
  store: StateStore,
  clock: ManualClock,
): TableFollower {
  return TableFollower.create({
    table: "state",
    store,
    clock,
    random: { next: () => 0 },
    seen: SeenVersion.create(),
    log: SILENT_LOG,
  });
}

/** A store in memory whose rows tests can inspect. */
export interface StoreFake extends StateStore {
  keys(): readonly string[];
  rows(): ReadonlyMap<string, StateRow>;
}

/** A state table in memory with the store's conditions and versions; no call fails. */
export function createStoreFake(): StoreFake {
  const rows = new Map<string, StateRow>();
  let version = 0;

  function transact(transaction: StateTransaction): TransactOutcome {
    const isMet = transaction.conditions.every((condition) =>
      (rows.get(condition.key)?.version ?? 0) === condition.version
    );
    if (!isMet) {
      return {
        kind: "conflict",
        rows: transaction.conditions.flatMap(({ key }) => rows.get(key) ?? []),
      };
    }
    version++;
    for (const { key, value } of transaction.puts) {
      rows.set(key, { key, version, value });
    }
    transaction.deletes.forEach((key) => rows.delete(key));
    return { kind: "committed", version };
  }

  return {
    transact: (transaction) => Promise.resolve(transact(transaction)),
    read: (_table, { fromKey, toKey }) =>
      Promise.resolve({
        kind: "rows",
        version,
        rows: [...rows.values()].filter(({ key }) =>
          (fromKey === undefined || key >= fromKey) &&
          (toKey === undefined || key < toKey)
        ),
      }),
    follow: (_table, afterVersion) =>
      Promise.resolve({
        kind: "rows",
        version,
        rows: [...rows.values()].filter((row) => row.version > afterVersion),
      }),
    keys: () => [...rows.keys()],
    rows: () => rows,
  };
}
