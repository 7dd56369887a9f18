/** Workers, units and shares for the tests of quotas and weighted shares. */
import type {
  FailureDomainName,
  OrganisationName,
  RackName,
  ServiceName,
  WorkerName,
} from "@coltsfootpond/common";
import type { RunningUnit } from "../eviction.ts";
import { subtractCellResources } from "../fit.ts";
import { RANK_TIER } from "../job_rank.ts";
import type { WaitingUnit } from "../plan_round.ts";
import type { CellResources, StepSpec, WorkerView } from "../types.ts";
import {
  addUsage,
  computeRequirement,
  type OrganisationShares,
} from "./organisation_usage.ts";

export const A = "a" as OrganisationName;
export const B = "b" as OrganisationName;
export const ACCELERATORS = 8;
const CAPACITY = {
  cpuMilli: 128_000,
  memoryMib: 512_000,
  accelerators: ACCELERATORS,
};
const NOTHING = { cpuMilli: 0, memoryMib: 0, accelerators: 0 };

/** A need that takes the same share of a worker in every resource. */
export function createNeed(accelerators: number): CellResources {
  return {
    cpuMilli: CAPACITY.cpuMilli / ACCELERATORS * accelerators,
    memoryMib: CAPACITY.memoryMib / ACCELERATORS * accelerators,
    accelerators,
  };
}

export function createStepOf(
  accelerators: number,
  overrides: Partial<StepSpec> = {},
): StepSpec {
  return {
    count: 1,
    need: createNeed(accelerators),
    estimateMs: 1_000,
    after: [],
    savesProgress: false,
    isGang: false,
    isRackBound: false,
    requiredLabel: undefined,
    dataRack: undefined,
    maximumPerWorker: undefined,
    isPersistent: false,
    isFiller: false,
    ...overrides,
  };
}

export function createWaiting(
  unit: string,
  organisation: OrganisationName | undefined,
  step: StepSpec,
  overrides: Partial<WaitingUnit<string>> = {},
): WaitingUnit<string> {
  return {
    unit,
    organisation,
    service: "service" as ServiceName,
    step,
    stepKey: unit,
    count: step.isGang ? step.count : 1,
    avoid: new Set(),
    rank: { tier: RANK_TIER.ORDINARY, density: 1 },
    allowRemote: true,
    evictionGain: 0,
    displacementCost: 0,
    mayUseHeadroom: true,
    ...overrides,
  };
}

export function createRunning(
  unit: string,
  organisation: OrganisationName | undefined,
  step: StepSpec,
  workers: readonly string[],
  overrides: Partial<RunningUnit<string>> = {},
): RunningUnit<string> {
  return {
    unit,
    organisation,
    step,
    stepKey: unit,
    workers: workers as WorkerName[],
    isEvictable: true,
    evictionCost: 0.01,
    ...overrides,
  };
}

/** Workers of one rack, with what the running units leave of each. */
export function createWorkers(
  names: readonly string[],
  running: readonly RunningUnit<string>[] = [],
): readonly WorkerView[] {
  return names.map((name) => {
    const own = running.flatMap(({ workers, step }) =>
      workers.filter((worker) => worker === name).map(() => step.need)
    );
    return {
      worker: name as WorkerName,
      service: "service" as ServiceName,
      failureDomain: "domain" as FailureDomainName,
      rack: "rack" as RackName,
      labels: new Set<string>(),
      capacity: CAPACITY,
      free: own.reduce(subtractCellResources, CAPACITY),
      releasing: NOTHING,
      slowness: 1,
      speed: 1,
      tasksByStep: new Map(),
    };
  });
}

/** Limits, and the usage of the running units. */
export function createShares(
  limits: Iterable<
    readonly [OrganisationName, { weight?: number; accelerators?: number }]
  >,
  running: readonly RunningUnit<string>[] = [],
): OrganisationShares {
  const usage = new Map<OrganisationName, CellResources>();
  for (const { organisation, step, workers } of running) {
    if (organisation === undefined) continue;
    const request = { step, count: workers.length };
    addUsage(usage, organisation, computeRequirement(request));
  }
  return {
    usage,
    limits: new Map(
      [...limits].map(([organisation, { weight, accelerators }]) => [
        organisation,
        {
          weight,
          quota: accelerators === undefined
            ? undefined
            : { ...NOTHING, accelerators },
        },
      ]),
    ),
  };
}
