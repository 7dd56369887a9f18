/**
 * Divides each organisation's quota among the failure domains. An engine counts only the usage of
 * its own failure domain, so without a division each would allow the whole quota. A pure function
 * of the declarations, the guarantee plan and the failure domains out of service, so equal on every
 * entry.
 */
import type {
  Declarations,
  FailureDomainDeclaration,
  FailureDomainName,
  OrganisationDeclaration,
  Resources,
} from "@coltsfootpond/common";
import {
  addScaled,
  computeDemand,
  createEmptyResources,
  fitsWithin,
  type MutableResources,
  scaleResources,
  subtractResources,
} from "../placement/resources.ts";
import type { EngineJob } from "../types.ts";
import type { GuaranteePlan } from "./guarantee_planner.ts";

/** By failure domain, the organisations with their share of the quota as `quota`. */
export type QuotaShares = ReadonlyMap<
  FailureDomainName,
  readonly OrganisationDeclaration[]
>;

const RESOURCE_NAMES = [
  "milliprocessors",
  "memoryMib",
  "accelerators",
] as const;

/** Largest demand of a gang that the organisation may submit, resource by resource. */
function findLargestDemand(
  { services }: Declarations,
  organisation: OrganisationDeclaration,
): Resources {
  const largest = createEmptyResources();
  for (const service of services) {
    if (service.kind !== "job") continue;
    const { organisations } = service;
    const maySubmit = organisations.length === 0 ||
      organisations.includes(organisation.name);
    if (!maySubmit) continue;
    const demand = computeDemand(service.shape);
    for (const name of RESOURCE_NAMES) {
      largest[name] = Math.max(largest[name], demand[name]);
    }
  }
  return largest;
}

/** Number of failure domains among which the rest can be divided so that a gang fits each share. */
function countShares(
  rest: Resources,
  largest: Resources,
  domains: number,
): number {
  let shares = domains;
  for (const name of RESOURCE_NAMES) {
    if (largest[name] === 0) continue;
    shares = Math.min(shares, Math.floor(rest[name] / largest[name]));
  }
  return Math.max(1, shares);
}

function countAccelerators({ racks }: FailureDomainDeclaration): number {
  return racks
    .flatMap(({ workers }) => workers)
    .reduce((sum, { resources }) => sum + resources.accelerators, 0);
}

/** Demand of the organisation's guarantee units that its quota covers, by failure domain. */
function sumGuaranteedDemand(
  plan: GuaranteePlan,
  organisation: OrganisationDeclaration,
): Map<FailureDomainName, MutableResources> {
  const guaranteedDemand = new Map<FailureDomainName, MutableResources>();
  const total = createEmptyResources();
  for (const { guarantee, failureDomain } of plan.assignments) {
    if (guarantee.organisation !== organisation.name) continue;
    const demand = computeDemand(guarantee.shape);
    const rest = subtractResources(organisation.quota, total);
    if (!fitsWithin(demand, rest)) continue;
    addScaled(total, demand, 1);
    const sum = guaranteedDemand.get(failureDomain) ?? createEmptyResources();
    addScaled(sum, demand, 1);
    guaranteedDemand.set(failureDomain, sum);
  }
  return guaranteedDemand;
}

/**
 * Gives each failure domain in service what its guarantees need. The rest is divided evenly among
 * the largest failure domains, as many of them as leave space for the organisation's largest gang
 * in each share.
 */
export function splitQuotas(
  declarations: Declarations,
  plan: GuaranteePlan,
  domainsOut: readonly FailureDomainName[],
): QuotaShares {
  const domains = declarations.failureDomains
    .filter(({ name }) => !domainsOut.includes(name))
    .sort((left, right) =>
      countAccelerators(right) - countAccelerators(left) ||
      (left.name < right.name ? -1 : 1)
    );
  const shares = new Map<FailureDomainName, OrganisationDeclaration[]>(
    domains.map(({ name }) => [name, []]),
  );
  for (const organisation of declarations.organisations) {
    const guaranteedDemand = sumGuaranteedDemand(plan, organisation);
    const rest = subtractResources(
      organisation.quota,
      ...guaranteedDemand.values(),
    );
    const largest = findLargestDemand(declarations, organisation);
    const count = countShares(rest, largest, domains.length);
    const share = scaleResources(rest, 1 / count);
    domains.forEach(({ name }, index) => {
      const quota = { ...guaranteedDemand.get(name) ?? createEmptyResources() };
      if (index < count) addScaled(quota, share, 1);
      shares.get(name)!.push({ ...organisation, quota: floor(quota) });
    });
  }
  return shares;
}

function floor(amount: Resources): Resources {
  return {
    milliprocessors: Math.floor(amount.milliprocessors),
    memoryMib: Math.floor(amount.memoryMib),
    accelerators: Math.floor(amount.accelerators),
  };
}

/** Failure domains in which the job fits its organisation's whole share of the quota. */
export function listDomainsWithinQuota(
  shares: QuotaShares,
  { organisation, shape }: EngineJob,
): readonly FailureDomainName[] {
  const demand = computeDemand(shape);
  return [...shares].flatMap(([name, organisations]) => {
    const own = organisations.find((other) => other.name === organisation);
    return own !== undefined && fitsWithin(demand, own.quota) ? [name] : [];
  });
}
