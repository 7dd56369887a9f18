/**
 * The part of each organisation's quota that its other work leaves to its urgent jobs. Without it, an
 * urgent job of an organisation at its quota waits until evicted tasks have stopped.
 */
import type { OrganisationName } from "@coltsfootpond/common";
import type { CellResources } from "../types.ts";
import { multiplyResources } from "./organisation_usage.ts";

/**
 * Largest share of a quota. An organisation with less than half of its quota in use must not wait
 * with work that would fit twice.
 */
const MAXIMUM_RESERVE_SHARE = 0.2;
/** As for the headroom of a service (`urgent_headroom.ts`). */
const STOP_TIME_FACTOR = 2;
const MS_PER_SECOND = 1_000;

/** The reserve of one organisation. */
export function computeUrgentReserve(
  { ratePerS, quota, stopLimitMs }: {
    /** Resources that its urgent jobs ask for in a second. */
    readonly ratePerS: CellResources;
    readonly quota: CellResources;
    /** Longest time that a task takes to stop. */
    readonly stopLimitMs: number;
  },
): CellResources {
  const horizonS = STOP_TIME_FACTOR * stopLimitMs / MS_PER_SECOND;
  const demand = multiplyResources(ratePerS, horizonS);
  const largest = multiplyResources(quota, MAXIMUM_RESERVE_SHARE);
  return {
    cpuMilli: Math.min(demand.cpuMilli, largest.cpuMilli),
    memoryMib: Math.min(demand.memoryMib, largest.memoryMib),
    accelerators: Math.min(demand.accelerators, largest.accelerators),
  };
}

/** What urgent jobs of each organisation ask for in a second. */
export type UrgentRates = ReadonlyMap<OrganisationName, CellResources>;
