/** Declared types that all packages share: resources, gangs, declarations, an entry's settings. */
import type {
  Digest,
  EntryName,
  FailureDomainName,
  GuaranteeName,
  OrganisationName,
  RackName,
  RegionName,
  ServiceName,
  ValueOf,
  WorkerName,
} from "./ids.ts";

export type JsonValue =
  | null
  | boolean
  | number
  | string
  | readonly JsonValue[]
  | { readonly [key: string]: JsonValue };

/** Resources that one task needs, one worker has or an organisation may use. */
export interface Resources {
  readonly milliprocessors: number;
  readonly memoryMib: number;
  readonly accelerators: number;
}

/** The part of the hardware within which all tasks of one gang must run. */
export const ADJACENCY = {
  WORKER: "worker",
  RACK: "rack",
  FAILURE_DOMAIN: "failure_domain",
} as const;
export type Adjacency = ValueOf<typeof ADJACENCY>;

/** The shape of a gang: `tasks` equal tasks, all on one worker or in one rack or failure domain. */
export interface Shape {
  readonly tasks: number;
  readonly perTask: Resources;
  readonly adjacency: Adjacency;
}

/**
 * An urgent job reclaims its organisation's guarantee without trying to borrow first, and may evict
 * normal jobs of its own organisation from it.
 */
export const PRIORITY = { URGENT: "urgent", NORMAL: "normal" } as const;
export type Priority = ValueOf<typeof PRIORITY>;

/** Capacity that an organisation can always reclaim: `count` gangs of one shape. */
export interface GuaranteeDeclaration {
  readonly name: GuaranteeName;
  readonly organisation: OrganisationName;
  readonly shape: Shape;
  /** Number of gangs of this shape. */
  readonly count: number;
  /** The failure domain whose capacity it uses; any one when absent. */
  readonly failureDomain?: FailureDomainName;
  /** Whether it must also fit while any one failure domain is out of service. */
  readonly survivesDomainLoss: boolean;
}

/** An organisation, its token and its limits. */
export interface OrganisationDeclaration {
  readonly name: OrganisationName;
  /** Hex SHA-256 of the organisation's bearer token. */
  readonly tokenDigest: Digest;
  /** Relative share of the borrowed capacity, compared with other organisations. */
  readonly weight: number;
  /** Most resources that its running tasks may use at a time. */
  readonly quota: Resources;
  /** Limit on the rate of its requests. */
  readonly requestsPerSecond: number;
  /** Limit on its requests in progress. */
  readonly concurrentRequests: number;
  /** Limit on its jobs that wait in a queue. */
  readonly queuedJobs: number;
}

interface ServiceBase {
  readonly name: ServiceName;
  /** Organisations that may call it; all when empty. */
  readonly organisations: readonly OrganisationName[];
  readonly idempotent: boolean;
  readonly maximumBodyBytes: number;
}

/** A service whose requests run as calls on runners. */
export interface CallServiceDeclaration extends ServiceBase {
  readonly kind: "call";
  readonly timeoutMs: number;
  /** Time without progress after which an attempt times out. */
  readonly progressTimeoutMs: number;
  /** Number of calls that a runner processes at a time, unless its VM states its own number. */
  readonly slotsPerRunner: number;
  /** Retries allowed, as a share of new requests. */
  readonly retryBudgetShare: number;
}

/** A service whose requests run as jobs: gangs of tasks on workers. */
export interface JobServiceDeclaration extends ServiceBase {
  readonly kind: "job";
  readonly shape: Shape;
  readonly priority: Priority;
  readonly expectedRunMs: number;
  readonly maximumRunMs: number;
  readonly canCheckpoint: boolean;
  /** How long a checkpoint may take before the task is stopped without one. */
  readonly checkpointMs: number;
}

export type ServiceDeclaration = CallServiceDeclaration | JobServiceDeclaration;

export interface WorkerDeclaration {
  readonly name: WorkerName;
  readonly resources: Resources;
}

export interface RackDeclaration {
  readonly name: RackName;
  readonly workers: readonly WorkerDeclaration[];
}

/** A failure domain and its racks of workers. */
export interface FailureDomainDeclaration {
  readonly name: FailureDomainName;
  readonly region: RegionName;
  readonly racks: readonly RackDeclaration[];
  /** How long tasks may take to checkpoint when the domain is taken out of service. */
  readonly drainMs: number;
}

/** One complete set of declarations. */
export interface Declarations {
  /** Hex SHA-256 digests of the operators' bearer tokens. */
  readonly operatorTokenDigests: readonly Digest[];
  readonly organisations: readonly OrganisationDeclaration[];
  readonly guarantees: readonly GuaranteeDeclaration[];
  readonly services: readonly ServiceDeclaration[];
  readonly failureDomains: readonly FailureDomainDeclaration[];
}

/** Settings of one entry of `coltsfootpondd`, read from its TOML file. */
export interface EntrySettings {
  readonly entry: EntryName;
  readonly region: RegionName;
  readonly failureDomain: FailureDomainName;
  readonly host: string;
  readonly httpPort: number;
  readonly meshPort: number;
  readonly platformHost: string;
  readonly platformPort: number;
  /** Shared by all entries; authenticates peers in the mesh. */
  readonly meshSecret: string;
  /** Operators who may apply the first configuration, which then declares the operators. */
  readonly bootstrapOperatorTokenDigests: readonly Digest[];
  /** Namespaces of the `debug` package whose lines are written to the log. */
  readonly logNamespaces: string;
  /** How long a graceful stop may take before the process exits anyway. */
  readonly stopTimeoutMs: number;
}
