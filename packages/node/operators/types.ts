/** What the operators' resources need of the entry's controllers. */
import type { EventRing } from "@coltsfootpond/common";
import type { ApplyOutcome, ApplyRequest } from "../configuration/types.ts";
import type {
  ChangeOutcome,
  FailureDomainChangeRequest,
} from "../failure_domains/failure_domain_controller.ts";
import type { Meters } from "../meters/meters.ts";
import type {
  ConfigurationView,
  DomainSummaries,
  EntryContext,
  FailureDomainView,
  JobOperations,
  MembershipView,
  OwnershipView,
} from "../types.ts";

export interface ConfigurationControl extends ConfigurationView {
  apply(request: ApplyRequest): Promise<ApplyOutcome>;
}

export interface FailureDomainControl extends FailureDomainView {
  change(request: FailureDomainChangeRequest): Promise<ChangeOutcome>;
}

/** Whether callers should be sent to this entry. */
export type Readiness =
  | { readonly kind: "ready" }
  | { readonly kind: "not_ready"; readonly reason: string };

export interface OperatorRouteOptions {
  readonly context: EntryContext;
  readonly configuration: ConfigurationControl;
  readonly failureDomains: FailureDomainControl;
  readonly membership: MembershipView;
  readonly ownership: OwnershipView;
  readonly summaries: DomainSummaries;
  readonly jobs: JobOperations;
  readonly events: EventRing;
  readonly meters: Meters;
  getReadiness(): Readiness;
}
