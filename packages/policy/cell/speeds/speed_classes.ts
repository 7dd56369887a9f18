/**
 * Groups estimated speeds into few classes, so that the noise of the estimates neither reorders
 * workers nor separates the members of a gang.
 */
import type { SpeedEstimate } from "./speed_estimates.ts";

/**
 * Ratio of the speeds of neighbouring classes: the stretch of urgent jobs, which a worker slower by
 * this factor uses up. Finer classes would divide workers of one speed by the noise of their
 * estimates, of which the standard error is 13% after 5 samples.
 */
const CLASS_RATIO = 1.5;
const CLASS_WIDTH = Math.log(CLASS_RATIO);
/**
 * A worker changes its class only when its speed is this far from the speed of the present one, in
 * widths of a class; half a width would let an estimate between two classes alternate.
 */
const HYSTERESIS = 0.65;
/** The same for workers of class 0, as most workers are alike in most cells. */
const USUAL_HYSTERESIS = 0.75;
/**
 * A worker leaves class 0 only if its speed differs from 1 by this many standard errors. The
 * comparison is repeated with every sample, so that 2 would be exceeded by chance too often.
 */
const LEAVE_STANDARD_ERRORS = 2.5;
/** It returns to class 0 if the difference is smaller than this many. */
const RETURN_STANDARD_ERRORS = 2;
/** A worker that has stopped making progress counts as this slow: a speed of 0.09. */
export const LOWEST_CLASS = -6;
export const HIGHEST_CLASS = 6;
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
  const standardErrors = present === USUAL_CLASS
    ? LEAVE_STANDARD_ERRORS
    : RETURN_STANDARD_ERRORS;
  const isUsual = Math.abs(logSpeed) <= standardErrors * standardError;
  if (isUsual) return USUAL_CLASS;
  const position = logSpeed / CLASS_WIDTH;
  const hysteresis = present === USUAL_CLASS ? USUAL_HYSTERESIS : HYSTERESIS;
  if (Math.abs(position - present) <= hysteresis) return present;
  return Math.max(
    LOWEST_CLASS,
    Math.min(HIGHEST_CLASS, Math.round(position) || USUAL_CLASS),
  );
}
