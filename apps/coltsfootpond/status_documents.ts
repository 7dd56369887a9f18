/** JSON documents of the operators' HTTP resources, with the fields that the commands read. */

/** A registered entry. */
export interface MemberDocument {
  readonly entry: string;
  readonly incarnation: string;
  readonly host: string;
  readonly httpPort: number;
  readonly state: string;
  /** Whether the reporting entry has a mesh connection to it. */
  readonly connected: boolean;
  /** Whether it is the reporting entry itself. */
  readonly self: boolean;
}

export interface FailureDomainDocument {
  readonly failureDomain: string;
  readonly state: string;
  readonly version: number;
  /** Whether this version of the state is not yet stored in the table service. */
  readonly provisional: boolean;
  readonly owner?: string;
  readonly summary?: {
    readonly freeAccelerators: number;
    readonly totalAccelerators: number;
    readonly queuedJobs: number;
    readonly runningTasks: number;
  };
}

/** The deployment as one entry reports it. */
export interface StatusDocument {
  readonly entry: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly configuration: {
    readonly version: number;
    /** Since the entry last confirmed its version with the table service; null for never. */
    readonly confirmedAgeMs: number | null;
    /** Whether it was confirmed recently enough to take requests. */
    readonly fresh: boolean;
  };
  readonly members: readonly MemberDocument[];
  readonly failureDomains: readonly FailureDomainDocument[];
  readonly job?: JobDocument;
}

/** One job; `waitReason` comes only from the owner of its failure domain. */
export interface JobDocument {
  readonly jobId: string;
  readonly state: string;
  readonly failureDomain: string;
  readonly resultName?: string;
  readonly waitReason?: string;
}

/** One line about a failure domain. */
export function formatFailureDomain(domain: FailureDomainDocument): string {
  const parts = [
    `${domain.failureDomain}: ${domain.state}`,
    `version ${domain.version}${domain.provisional ? " (not durable)" : ""}`,
    `owner ${domain.owner ?? "none"}`,
  ];
  if (domain.summary !== undefined) {
    const { freeAccelerators, totalAccelerators } = domain.summary;
    parts.push(
      `${freeAccelerators} of ${totalAccelerators} accelerators free`,
      `${domain.summary.queuedJobs} queued`,
      `${domain.summary.runningTasks} tasks running`,
    );
  }
  return parts.join(", ");
}
