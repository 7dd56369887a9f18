/**
 * Owners of work that no caller awaits. An error ends neither the process nor other work: it is
 * reported, and the activity goes on with its next call (decision 0013).
 */
import type { Clock } from "@coltsfootpond/common";
import type { Observable, Subscription } from "rxjs";
import type { CellLog, LogFields } from "../log.ts";
import type { BackgroundActivity } from "./activities.ts";
import { reportFailure } from "./report_failure.ts";

/** Delay before a loop that has failed runs again, doubled up to the maximum. */
const MINIMUM_RESTART_DELAY_MS = 50;
const MAXIMUM_RESTART_DELAY_MS = 5_000;
/** A loop that has run for this long restarts after the minimum delay again. */
const SOUND_RUN_MS = 10_000;

/** Runs the work; reports an error that it throws or with which its promise rejects. */
export function runInBackground(
  log: CellLog,
  activity: BackgroundActivity,
  work: () => unknown,
  fields?: LogFields,
): void {
  try {
    const result = work();
    if (!(result instanceof Promise)) return;
    result.catch((error) => reportFailure(log, activity, error, fields));
  } catch (error) {
    reportFailure(log, activity, error, fields);
  }
}

/** Runs the work to its end; reports an error. */
export async function settleWork(
  log: CellLog,
  activity: BackgroundActivity,
  work: () => Promise<void>,
): Promise<void> {
  try {
    await work();
  } catch (error) {
    reportFailure(log, activity, error);
  }
}

/** The callback of a timer, a server or an emitter, with its errors reported. */
export function guard<Arguments extends readonly unknown[]>(
  log: CellLog,
  activity: BackgroundActivity,
  callback: (...values: Arguments) => unknown,
): (...values: Arguments) => void {
  return (...values) =>
    runInBackground(log, activity, () => callback(...values));
}

/** Subscribes with the subscriber's errors reported; rxjs would throw them on a timer. */
export function subscribeGuarded<Value>(
  source: Observable<Value>,
  log: CellLog,
  activity: BackgroundActivity,
  next: (value: Value) => unknown,
): Subscription {
  return source.subscribe(guard(log, activity, next));
}

export interface KeepRunningOptions {
  readonly clock: Clock;
  readonly log: CellLog;
  readonly activity: BackgroundActivity;
  readonly isStopped: () => boolean;
}

/** Runs the loop until it ends by itself or is stopped; restarts it when it fails. */
export async function keepRunning(
  { clock, log, activity, isStopped }: KeepRunningOptions,
  loop: () => Promise<void>,
): Promise<void> {
  let delayMs = MINIMUM_RESTART_DELAY_MS;
  while (!isStopped()) {
    const startedMs = clock.nowMs();
    try {
      return await loop();
    } catch (error) {
      reportFailure(log, activity, error);
    }
    const wasSound = clock.nowMs() - startedMs >= SOUND_RUN_MS;
    if (wasSound) delayMs = MINIMUM_RESTART_DELAY_MS;
    await clock.sleep(delayMs);
    delayMs = Math.min(MAXIMUM_RESTART_DELAY_MS, delayMs * 2);
  }
}
