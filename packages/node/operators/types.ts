/** Types of the operators' routes: the controllers that they use, and readiness. */
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

/** The configuration with its operation for operators. */
export interface ConfigurationControl extends ConfigurationView {
  apply(request: ApplyRequest): Promise<ApplyOutcome>;
}

/** The failure domains with their operation for operators. */
export interface FailureDomainControl extends FailureDomainView {
  change(request: FailureDomainChangeRequest): Promise<ChangeOutcome>;
}

/** Whether balancers should send callers to this entry. */
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
