/**
 * The order in which a unit tries workers of unequal speeds. A gang runs at the speed of its slowest
 * member, so workers of one speed are tried before mixtures.
 */
import type { WorkerCapacity } from "../fit.ts";
import type { StepSpec } from "../types.ts";

/** Tasks of one step that measure one worker; more would add little to what these show. */
const MEASURING_TASKS = 2;

/** What decides the order. */
export interface SpeedRequest {
  readonly stepKey: string;
  readonly step: StepSpec;
  readonly count: number;
  /** Undefined where any speed does. */
  readonly minimumSpeed?: number | undefined;
}

/**
 * Groups of workers in the order in which they are tried; each may contain others. Fast enough
 * workers come first, the slowest of them first, so that faster ones stay free for units that need
 * them. Of workers that are too slow, the fastest come first. A unit that needs speed runs on
 * workers that are not measured yet, and may be slow, only if no measured ones have room.
 */
export function listSpeedGroups(
  capacities: readonly WorkerCapacity[],
  request: SpeedRequest,
): readonly (readonly WorkerCapacity[])[] {
  const isEqual = capacities.every(({ view }) =>
    view.speed === capacities[0]?.view.speed
  );
  if (isEqual) return [capacities];
  const { minimumSpeed = 0 } = request;
  const measured = minimumSpeed > 0
    ? capacities.filter(({ view }) => view.isSpeedMeasured !== false)
    : capacities;
  const groups = [
    ...listUnmeasured(capacities, request),
    ...listFastEnough(measured, request),
  ];
  if (measured.length < capacities.length) {
    groups.push(...listFastEnough(capacities, request));
  }
  const tooSlow = listSpeeds(capacities).filter((speed) => speed < minimumSpeed)
    .reverse();
  return [
    ...groups,
    ...tooSlow.map((speed) =>
      capacities.filter(({ view }) => view.speed >= speed)
    ),
  ];
}

function listSpeeds(capacities: readonly WorkerCapacity[]): readonly number[] {
  return [...new Set(capacities.map(({ view }) => view.speed))].sort(
    (left, right) => left - right,
  );
}

/** The workers of each speed that is enough, ascending; last, for gangs, all of them. */
function listFastEnough(
  capacities: readonly WorkerCapacity[],
  { count, minimumSpeed = 0 }: SpeedRequest,
): readonly (readonly WorkerCapacity[])[] {
  const enough = capacities.filter(({ view }) => view.speed >= minimumSpeed);
  const bySpeed = listSpeeds(enough).map((speed) =>
    enough.filter(({ view }) => view.speed === speed)
  );
  return count > 1 && bySpeed.length > 1 ? [...bySpeed, enough] : bySpeed;
}

/**
 * Workers whose speed a single task with slack measures, where speeds are unequal. Without this,
 * such tasks are packed onto the workers that have some already, and the speeds of the others, on
 * which gangs run, stay unknown.
 */
function listUnmeasured(
  capacities: readonly WorkerCapacity[],
  { step, stepKey, minimumSpeed }: SpeedRequest,
): readonly (readonly WorkerCapacity[])[] {
  if (step.isGang || step.isFiller || minimumSpeed !== undefined) return [];
  const unmeasured = capacities.filter(({ view, tasksByStep }) =>
    view.isSpeedMeasured === false &&
    (tasksByStep.get(stepKey) ?? 0) < MEASURING_TASKS
  );
  return unmeasured.length > 0 ? [unmeasured] : [];
}
