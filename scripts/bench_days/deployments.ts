/**
 * The deployments that days are replayed on. Sizes and arrivals are rounded models of the platform's
 * data sheets; `large` is played at an arrival rate that asks for slightly more than the whole cell.
 */
import {
  brandId,
  type OrganisationName,
  type RackName,
} from "@coltsfootpond/common";
import type { JobKind } from "./arrivals.ts";

export const ACCELERATORS_PER_WORKER = 8;

type KindFigures = Pick<
  JobKind,
  | "arrivalsPerS"
  | "allowanceMs"
  | "runMs"
  | "estimateSpread"
  | "tasks"
  | "maximumTasks"
>;

export interface Deployment {
  readonly name: string;
  readonly workers: number;
  readonly workersPerRack: number;
  readonly failureDomains: number;
  readonly organisations: readonly OrganisationName[];
  /** Share of the cell's accelerators that each organisation is guaranteed. */
  readonly guaranteedShare: number;
  readonly startDelayMs: number;
  readonly stopDelayMs: number;
  /** Delay of a start from saved progress, in addition to that of every start. */
  readonly restoreDelayMs: number;
  /** The speeds of the workers, equally frequent; a worker of speed 1 has the reference speed. */
  readonly speeds: readonly number[];
  readonly kinds: Readonly<Record<"large" | "urgent" | "wide", KindFigures>>;
}

function listNames<Name extends string>(
  prefix: string,
  count: number,
): readonly Name[] {
  return Array.from(
    { length: count },
    (_, number) => `${prefix}${number}` as Name,
  );
}

const SMALL: Deployment = {
  name: "small",
  workers: 33,
  workersPerRack: 8,
  failureDomains: 3,
  organisations: ["a", "b", "c", "d"].map((name) =>
    brandId<OrganisationName>(name)
  ),
  guaranteedShare: 0.15,
  startDelayMs: 20,
  stopDelayMs: 100,
  restoreDelayMs: 600,
  speeds: [1],
  kinds: {
    large: {
      arrivalsPerS: 0.4,
      allowanceMs: 1_000,
      runMs: 8_000,
      estimateSpread: 0.7,
      tasks: 4.5,
      maximumTasks: 24,
    },
    urgent: {
      arrivalsPerS: 1.36,
      allowanceMs: 250,
      runMs: 2_400,
      estimateSpread: 0.35,
      tasks: 3,
      maximumTasks: 18,
    },
    wide: {
      arrivalsPerS: 0.45,
      allowanceMs: 3_000,
      runMs: 6_000,
      estimateSpread: 0.7,
      tasks: 13,
      maximumTasks: 80,
    },
  },
};

const LARGE: Deployment = {
  name: "large",
  workers: 380,
  workersPerRack: 12,
  failureDomains: 5,
  organisations: listNames("organisation-", 24),
  guaranteedShare: 0.025,
  startDelayMs: 60,
  stopDelayMs: 700,
  restoreDelayMs: 100,
  speeds: [1],
  kinds: {
    large: {
      arrivalsPerS: 3,
      allowanceMs: 1_000,
      runMs: 6_800,
      estimateSpread: 0.2,
      tasks: 13,
      maximumTasks: 76,
    },
    urgent: {
      arrivalsPerS: 13,
      allowanceMs: 300,
      runMs: 2_500,
      estimateSpread: 0.2,
      tasks: 5.3,
      maximumTasks: 32,
    },
    wide: {
      arrivalsPerS: 2,
      allowanceMs: 3_000,
      runMs: 9_500,
      estimateSpread: 0.5,
      tasks: 38,
      maximumTasks: 230,
    },
  },
};

/** Workers of unequal speeds in every rack, with about the load that they can just serve. */
const UNEVEN: Deployment = {
  ...LARGE,
  name: "uneven",
  workers: 192,
  guaranteedShare: 0.05,
  organisations: LARGE.organisations.slice(0, 10),
  speeds: [0.6, 1, 1.6],
  kinds: {
    large: { ...LARGE.kinds.large, arrivalsPerS: 1 },
    urgent: { ...LARGE.kinds.urgent, arrivalsPerS: 4.5 },
    wide: { ...LARGE.kinds.wide, arrivalsPerS: 0.9, runMs: 7_000 },
  },
};

export const DEPLOYMENTS = {
  small: SMALL,
  large: LARGE,
  uneven: UNEVEN,
} as const;
export type DeploymentName = keyof typeof DEPLOYMENTS;

/** The racks of a deployment in the order of their workers; the last one may be smaller. */
export function listRacks(
  { workers, workersPerRack }: Deployment,
): readonly RackName[] {
  return listNames("rack-", Math.ceil(workers / workersPerRack));
}

export function countAccelerators({ workers }: Deployment): number {
  return workers * ACCELERATORS_PER_WORKER;
}
