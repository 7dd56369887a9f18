/**
 * The order in which a unit tries workers of unequal speeds. A gang runs at the speed of its slowest
 * member, so workers of one speed are tried before mixtures.
 */
import type { WorkerCapacity } from "../fit.ts";

/** What decides the order. */
export interface SpeedRequest {
  readonly count: number;
  /** Undefined where any speed does. */
  readonly minimumSpeed?: number | undefined;
}

/**
 * Groups of workers in the order in which they are tried; each may contain others. Fast enough
 * workers come first, the slowest of them first, so that faster ones stay free for units that need
 * them. Of workers that are too slow, the fastest come first.
 */
export function listSpeedGroups(
  capacities: readonly WorkerCapacity[],
  { count, minimumSpeed = 0 }: SpeedRequest,
): readonly (readonly WorkerCapacity[])[] {
  const speeds = [...new Set(capacities.map(({ view }) => view.speed))].sort(
    (left, right) => left - right,
  );
  if (speeds.length <= 1) return [capacities];
  const enough = speeds.filter((speed) => speed >= minimumSpeed);
  const tooSlow = speeds.filter((speed) => speed < minimumSpeed).reverse();
  const ofSpeed = (speed: number) =>
    capacities.filter(({ view }) => view.speed === speed);
  const fromSpeed = (speed: number) =>
    capacities.filter(({ view }) => view.speed >= speed);
  const mixed = enough[0] === undefined || enough.length === 1 || count === 1
    ? []
    : [fromSpeed(enough[0])];
  return [
    ...enough.map(ofSpeed),
    ...mixed,
    ...tooSlow.map(fromSpeed),
  ];
}
