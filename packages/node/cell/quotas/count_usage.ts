/**
 * Counts what runs for each organisation, summed over all workers. Whatever may be running counts:
 * reserved, sent, answered, reported and stopping runs, stray runs, and runs on workers that do not
 * answer, until their leases have certainly ended.
 */
import type { OrganisationName } from "@coltsfootpond/common";
import {
  addUsage,
  type CellResources,
  NO_USAGE,
  type OrganisationUsage,
  subtractCellResources,
} from "@coltsfootpond/policy";
import type { TaskRun } from "../task_run.ts";
import {
  computeUnreportedRequirement,
  type UnreportedRuns,
} from "./earlier_placements.ts";

/** The task runs of one worker's session, whatever their state. */
export interface WorkerRuns {
  /** Undefined without a record. */
  readonly capacity: CellResources | undefined;
  readonly taskRuns: readonly Pick<TaskRun, "account">[];
}

export interface UsageInput {
  readonly workers: readonly WorkerRuns[];
  readonly unreported: readonly UnreportedRuns[];
  /** Organisations with a quota or a weight; a run of an unknown job counts for each of them. */
  readonly organisations: readonly OrganisationName[];
  /** Of a worker without a record. */
  readonly largestCapacity: CellResources;
}

export function countUsage(input: UsageInput): OrganisationUsage {
  const usage = new Map<OrganisationName, CellResources>();
  for (const worker of input.workers) addWorker(usage, worker, input);
  for (const runs of input.unreported) {
    const requirement = computeUnreportedRequirement(runs);
    if (requirement === undefined || runs.account.kind !== "known") continue;
    const { organisation } = runs.account;
    if (organisation !== undefined) addUsage(usage, organisation, requirement);
  }
  return usage;
}

function addWorker(
  usage: Map<OrganisationName, CellResources>,
  { capacity, taskRuns }: WorkerRuns,
  { organisations, largestCapacity }: UsageInput,
): void {
  let rest = capacity ?? largestCapacity;
  const ownersOfRest = new Set<OrganisationName>();
  for (const { account } of taskRuns) {
    switch (account.kind) {
      case "known":
        rest = subtractCellResources(rest, account.requirement);
        if (account.organisation === undefined) break;
        addUsage(usage, account.organisation, account.requirement);
        break;
      case "unsized":
        if (account.organisation === undefined) break;
        ownersOfRest.add(account.organisation);
        break;
      case "unknown":
        organisations.forEach((organisation) => ownersOfRest.add(organisation));
        break;
    }
  }
  // Runs of unknown requirement together use at most what the known ones leave.
  for (const organisation of ownersOfRest) {
    addUsage(usage, organisation, clampToZero(rest));
  }
}

function clampToZero(resources: CellResources): CellResources {
  return {
    cpuMilli: Math.max(NO_USAGE.cpuMilli, resources.cpuMilli),
    memoryMib: Math.max(NO_USAGE.memoryMib, resources.memoryMib),
    accelerators: Math.max(NO_USAGE.accelerators, resources.accelerators),
  };
}
