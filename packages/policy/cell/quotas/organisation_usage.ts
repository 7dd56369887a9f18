/** Resources that the runs of each organisation use, summed over all workers, and their limits. */
import type { OrganisationName } from "@coltsfootpond/common";
import { addCellResources } from "../fit.ts";
import type { CellResources, StepSpec } from "../types.ts";

/** By organisation; one that is missing uses nothing. */
export type OrganisationUsage = ReadonlyMap<OrganisationName, CellResources>;

/** What operators declare for one organisation. */
export interface OrganisationLimits {
  /** Share when the cell is full, relative to the others; undefined if not declared. */
  readonly weight: number | undefined;
  /** Undefined without a limit; a resource of 0 is not limited. */
  readonly quota: CellResources | undefined;
}

/** Usage and limits at the start of a round. */
export interface OrganisationShares {
  readonly usage: OrganisationUsage;
  readonly limits: ReadonlyMap<OrganisationName, OrganisationLimits>;
  /** Part of the quotas that work without `mayUseHeadroom` leaves free; default none. */
  readonly urgentReserves?: ReadonlyMap<OrganisationName, CellResources>;
}

const RESOURCES = ["cpuMilli", "memoryMib", "accelerators"] as const;

export const NO_USAGE: CellResources = {
  cpuMilli: 0,
  memoryMib: 0,
  accelerators: 0,
};

/** The same tasks, `count` times; a negative count gives what is released. */
export function multiplyResources(
  { cpuMilli, memoryMib, accelerators }: CellResources,
  count: number,
): CellResources {
  return {
    cpuMilli: cpuMilli * count,
    memoryMib: memoryMib * count,
    accelerators: accelerators * count,
  };
}

/**
 * The whole requirement of the unit's tasks. Unlike the capacity that they take from a worker
 * (`getCountedNeed`), it includes the processor time of a filler step.
 */
export function computeRequirement(
  { step, count }: { readonly step: StepSpec; readonly count: number },
): CellResources {
  return multiplyResources(step.need, count);
}

/** Adds resources to the usage of an organisation. */
export function addUsage(
  usage: Map<OrganisationName, CellResources>,
  organisation: OrganisationName,
  resources: CellResources,
): void {
  const used = usage.get(organisation) ?? NO_USAGE;
  usage.set(organisation, addCellResources(used, resources));
}

/**
 * Whether the total is within the quota in every limited resource, including those of which a unit
 * takes nothing: above a reduced quota, nothing starts.
 */
export function isWithinQuota(
  total: CellResources,
  quota: CellResources | undefined,
): boolean {
  if (quota === undefined) return true;
  return RESOURCES.every((resource) =>
    quota[resource] <= 0 || total[resource] <= quota[resource]
  );
}
