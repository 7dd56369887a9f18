/** Types shared by every package. */
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

/** A JSON value. */
export type JsonValue =
  | null
  | boolean
  | number
  | string
  | readonly JsonValue[]
  | { readonly [key: string]: JsonValue };

/** What one task needs, or one worker has. */
export interface Resources {
  readonly milliprocessors: number;
  readonly memoryMib: number;
  readonly accelerators: number;
}

/** How close the tasks of one gang must be. */
export const ADJACENCY = {
  WORKER: "worker",
  RACK: "rack",
  FAILURE_DOMAIN: "failure_domain",
} as const;
export type Adjacency = ValueOf<typeof ADJACENCY>;

/** A gang: `tasks` equal tasks, as close to each other as `adjacency` says. */
export interface Shape {
  readonly tasks: number;
  readonly perTask: Resources;
  readonly adjacency: Adjacency;
}

/** Urgent work may ask back its organisation's guarantee at once. */
export const PRIORITY = { URGENT: "urgent", NORMAL: "normal" } as const;
export type Priority = ValueOf<typeof PRIORITY>;

/** A shape that can always be reclaimed for its organisation. */
export interface GuaranteeDeclaration {
  readonly name: GuaranteeName;
  readonly organisation: OrganisationName;
  readonly shape: Shape;
  /** How many gangs of this shape. */
  readonly count: number;
  /** Where it is held; any failure domain when absent. */
  readonly failureDomain?: FailureDomainName;
  /** Must also fit with any one failure domain out. */
  readonly survivesDomainLoss: boolean;
}

export interface OrganisationDeclaration {
  readonly name: OrganisationName;
  /** Hex SHA-256 of the organisation's bearer token. */
  readonly tokenDigest: Digest;
  /** Share of borrowed capacity relative to other organisations. */
  readonly weight: number;
  /** Ceiling on what may run at once. */
  readonly quota: Resources;
  readonly requestsPerSecond: number;
  readonly concurrentRequests: number;
  readonly queuedJobs: number;
}

interface ServiceBase {
  readonly name: ServiceName;
  /** Organisations that may call it; empty means all. */
  readonly organisations: readonly OrganisationName[];
  readonly idempotent: boolean;
  readonly maximumBodyBytes: number;
}

/** A service served by runners. */
export interface CallServiceDeclaration extends ServiceBase {
  readonly kind: "call";
  readonly timeoutMs: number;
  /** An attempt with no progress for this long is given up. */
  readonly progressTimeoutMs: number;
  readonly slotsPerRunner: number;
  /** Retries allowed as a share of fresh requests. */
  readonly retryBudgetShare: number;
}

/** A service run as gangs of tasks on workers. */
export interface JobServiceDeclaration extends ServiceBase {
  readonly kind: "job";
  readonly shape: Shape;
  readonly priority: Priority;
  readonly expectedRunMs: number;
  readonly maximumRunMs: number;
  readonly canCheckpoint: boolean;
  /** How long a checkpoint may take before the task is stopped all the same. */
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

export interface FailureDomainDeclaration {
  readonly name: FailureDomainName;
  readonly region: RegionName;
  readonly racks: readonly RackDeclaration[];
  /** How long work may take to checkpoint when the domain is taken out. */
  readonly drainMs: number;
}

/** One whole accepted set of declarations. */
export interface Declarations {
  /** Hex SHA-256 digests of the operators' bearer tokens. */
  readonly operatorTokenDigests: readonly Digest[];
  readonly organisations: readonly OrganisationDeclaration[];
  readonly guarantees: readonly GuaranteeDeclaration[];
  readonly services: readonly ServiceDeclaration[];
  readonly failureDomains: readonly FailureDomainDeclaration[];
}

/** Settings of one entry's process, read from its TOML file. */
export interface EntrySettings {
  readonly entry: EntryName;
  readonly region: RegionName;
  readonly failureDomain: FailureDomainName;
  readonly host: string;
  readonly httpPort: number;
  readonly meshPort: number;
  readonly platformHost: string;
  readonly platformPort: number;
  /** Shared by all entries; proves a mesh peer. */
  readonly meshSecret: string;
  /** Operators who may apply the first configuration; later ones are declared in it. */
  readonly bootstrapOperatorTokenDigests: readonly Digest[];
  /** `debug` namespaces to write. */
  readonly logNamespaces: string;
  /** How long a planned stop may take before the process exits all the same. */
  readonly stopTimeoutMs: number;
}
