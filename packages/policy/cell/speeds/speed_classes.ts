/**
 * Groups estimated speeds into few classes, so that the noise of the estimates neither reorders
 * workers nor separates the members of a gang.
 */
import type { SpeedEstimate } from "./speed_estimates.ts";

/**
 * Ratio of the speeds of neighbouring classes. Tasks of one step differ by 15 to 30% in length, so a
 * smaller difference between workers does not decide which task ends first.
 */
const CLASS_RATIO = 1.25;
const CLASS_WIDTH = Math.log(CLASS_RATIO);
/**
 * A worker changes its class only when its speed is this far from the speed of the present one, in
 * widths of a class; half a width would let an estimate between two classes alternate.
 */
const HYSTERESIS = 0.75;
/** A worker leaves class 0 only if its speed differs from 1 by this many standard errors. */
const LEAVE_STANDARD_ERRORS = 2;
/** A worker that has stopped making progress counts as this slow: 0.8 to the power of 10. */
const LOWEST_CLASS = -10;
const HIGHEST_CLASS = 10;
/** Class of the usual worker, and of workers whose speed is not known. */
export const USUAL_CLASS = 0;

/** The speed that workers of a class count as. */
export function computeClassSpeed(speedClass: number): number {
  return CLASS_RATIO ** speedClass;
}

/** The logarithm of a class's speed. */
export function computeClassLogSpeed(speedClass: number): number {
  return CLASS_WIDTH * speedClass;
}

/** The class of a worker, given its present class. */
export function classifySpeed(
  { logSpeed, standardError }: SpeedEstimate,
  present: number,
): number {
  const position = logSpeed / CLASS_WIDTH;
  if (Math.abs(position - present) <= HYSTERESIS) return present;
  const isUsual = Math.abs(logSpeed) <= LEAVE_STANDARD_ERRORS * standardError;
  if (isUsual) return USUAL_CLASS;
  return Math.max(
    LOWEST_CLASS,
    Math.min(HIGHEST_CLASS, Math.round(position) || USUAL_CLASS),
  );
}
