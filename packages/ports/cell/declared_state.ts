/** What operators declare for the cell's scheduler: queues, API keys, guarantees and limits. */
import type { OrganisationName, ServiceName } from "@coltsfootpond/common";
import type { CellResources, QueueName } from "@coltsfootpond/policy";

/** One queue: where callers submit its jobs, and the parameters that its jobs get. */
export interface QueueDeclaration {
  readonly queue: QueueName;
  /** The service whose workers run its jobs. */
  readonly service: ServiceName;
  /** Host and path prefix of the requests for this queue. */
  readonly host: string;
  readonly pathPrefix: string;
  /** Whether requests without an API key are accepted. */
  readonly isPublic: boolean;
  /** Whether workers accept a start of its jobs only with a ticket of an authorization service. */
  readonly requiresTicket: boolean;
  readonly priority: number;
  readonly maximumAttempts: number;
  /** A job's objective is `stretch` times its critical path, plus `allowanceMs`. */
  readonly stretch: number;
  readonly allowanceMs: number;
  readonly timeoutMs: number;
}

/** Accelerators guaranteed to one organisation. */
export interface OrganisationGuarantee {
  readonly organisation: OrganisationName;
  /** Accelerators that its urgent jobs can get at any time. */
  readonly accelerators: number;
}

/** Weight and quota of one organisation. */
export interface OrganisationShare {
  readonly organisation: OrganisationName;
  /** Share when the cell is full, relative to the others; undefined if not declared. */
  readonly weight: number | undefined;
  /** Undefined without a limit; a resource of 0 is not limited. */
  readonly quota: CellResources | undefined;
}

/** One version of everything that the operators declare. */
export interface DeclaredState {
  readonly version: number;
  readonly queues: readonly QueueDeclaration[];
  readonly organisationByApiKey: ReadonlyMap<string, OrganisationName>;
  readonly guarantees: readonly OrganisationGuarantee[];
  readonly shares: readonly OrganisationShare[];
  /** All services that the declared state names; a worker of any other is not used. */
  readonly services: ReadonlySet<ServiceName>;
  /** Services whose workers refuse a start that exceeds their capacity. */
  readonly capacityEnforcingServices: ReadonlySet<ServiceName>;
  /** Limits of the HTTP server that callers use. */
  readonly limits: {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly keepAliveMs: number;
  };
}
