/** What the operators declare, as a whole. */
import type { OrganisationName, ServiceName } from "@coltsfootpond/common";
import type { QueueName } from "@coltsfootpond/policy";

/** One queue of the declared state. */
export interface QueueDeclaration {
  readonly queue: QueueName;
  readonly service: ServiceName;
  readonly host: string;
  readonly pathPrefix: string;
  readonly isPublic: boolean;
  readonly priority: number;
  readonly maximumAttempts: number;
  readonly stretch: number;
  readonly allowanceMs: number;
  readonly timeoutMs: number;
}

export interface OrganisationGuarantee {
  readonly organisation: OrganisationName;
  /** Accelerators that belong to its urgent jobs at all times. */
  readonly accelerators: number;
}

/** The newest declared state, as a whole. */
export interface DeclaredState {
  readonly version: number;
  readonly queues: readonly QueueDeclaration[];
  readonly organisationByApiKey: ReadonlyMap<string, OrganisationName>;
  readonly guarantees: readonly OrganisationGuarantee[];
  /** Services whose workers refuse what does not fit. */
  readonly capacityEnforcingServices: ReadonlySet<ServiceName>;
  readonly limits: {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly keepAliveMs: number;
  };
}
