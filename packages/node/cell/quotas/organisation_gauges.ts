/** What operators see of each organisation on the lease holder. */
import type { OrganisationName } from "@coltsfootpond/common";
import {
  type CellResources,
  NO_USAGE,
  type OrganisationUsage,
} from "@coltsfootpond/policy";
import type { DeclaredState } from "@coltsfootpond/ports";
import type { LiveJob } from "../live_job.ts";

/** Bounds the number of time series; deployments have 10 organisations. */
export const MAXIMUM_ORGANISATIONS = 32;

export interface OrganisationGauges {
  readonly organisation: string;
  readonly running: CellResources;
  /** Undefined without a limit; a resource of 0 is not limited. */
  readonly quota: CellResources | undefined;
  /** Undefined if not declared. */
  readonly weight: number | undefined;
  readonly guaranteedAccelerators: number;
  /** Jobs that have not begun. */
  readonly waitingJobs: number;
}

/** The first declared organisations, in the order of their names. */
export function createOrganisationGauges(
  state: DeclaredState | undefined,
  usage: OrganisationUsage,
  jobs: readonly LiveJob[],
): readonly OrganisationGauges[] {
  const waiting = new Map<OrganisationName | undefined, number>();
  for (const { spec: { organisation }, hasBegun } of jobs) {
    if (hasBegun) continue;
    waiting.set(organisation, (waiting.get(organisation) ?? 0) + 1);
  }
  const guaranteed = new Map(
    state?.guarantees.map(({ organisation, accelerators }) => [
      organisation,
      accelerators,
    ]),
  );
  return [...state?.shares ?? []].sort((left, right) =>
    left.organisation < right.organisation ? -1 : 1
  ).slice(0, MAXIMUM_ORGANISATIONS).map(({ organisation, weight, quota }) => ({
    organisation,
    running: usage.get(organisation) ?? NO_USAGE,
    quota,
    weight,
    guaranteedAccelerators: guaranteed.get(organisation) ?? 0,
    waitingJobs: waiting.get(organisation) ?? 0,
  }));
}
