/** Documents of the operators' resources, as far as the commands read them. */

export interface MemberDocument {
  readonly entry: string;
  readonly incarnation: string;
  readonly host: string;
  readonly httpPort: number;
  readonly state: string;
  readonly connected: boolean;
  readonly self: boolean;
}

export interface FailureDomainDocument {
  readonly failureDomain: string;
  readonly state: string;
  readonly version: number;
  readonly provisional: boolean;
  readonly owner?: string;
  readonly summary?: {
    readonly freeAccelerators: number;
    readonly totalAccelerators: number;
    readonly queuedJobs: number;
    readonly runningTasks: number;
  };
}

export interface StatusDocument {
  readonly entry: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly configuration: {
    readonly version: number;
    /** Null when it was never confirmed. */
    readonly confirmedAgeMs: number | null;
    readonly fresh: boolean;
  };
  readonly members: readonly MemberDocument[];
  readonly failureDomains: readonly FailureDomainDocument[];
  readonly job?: JobDocument;
}

export interface JobDocument {
  readonly jobId: string;
  readonly state: string;
  readonly failureDomain: string;
  readonly resultName?: string;
  readonly waitReason?: string;
}

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
