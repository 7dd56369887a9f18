/** Finds the runs that are stopped because one of their workers leaves before they end. */
import type { Clock } from "@coltsfootpond/common";
import {
  computeRemainingMs,
  mustStopLeavingRun,
  type QueueName,
} from "@coltsfootpond/policy";
import type { Unit } from "../live_job.ts";

export interface LeavingRunOptions {
  readonly clock: Pick<Clock, "nowMs">;
  /** Longest time that a task takes to stop. */
  readonly stopLimitMs: number;
  /** Longest time until the runs are checked again. */
  readonly periodMs: number;
  /** Actual over estimated duration of the queue's earlier tasks. */
  readonly getDurationRatio: (queue: QueueName) => number;
}

/** Why a run is stopped, for the log. */
export interface LeavingRunInputs {
  readonly timeLeftMs: number;
  readonly remainingMs: number;
}

/** The inputs of the decision to stop the unit's run; undefined if it goes on. */
export function findLeavingRun(
  unit: Unit,
  { clock, stopLimitMs, periodMs, getDurationRatio }: LeavingRunOptions,
): LeavingRunInputs | undefined {
  const { run, step, job } = unit;
  if (run === undefined || run.isClosing) return undefined;
  const nowMs = clock.nowMs();
  const firstDepartureMs = Math.min(
    ...[...run.taskRuns.values()].map(({ departureMs }) =>
      departureMs ?? Infinity
    ),
  );
  if (firstDepartureMs === Infinity) return undefined;
  const timeLeftMs = firstDepartureMs - nowMs;
  const percents = [...run.taskRuns.keys()].map(({ percent }) => percent);
  const remainingMs = computeRemainingMs({
    elapsedMs: nowMs - run.startedMs,
    percent: Math.min(...percents),
    estimateMs: step.estimateMs,
    speed: 1,
    learnedRatio: getDurationRatio(job.spec.queue),
  });
  const leavingRun = {
    timeLeftMs,
    remainingMs,
    isPersistent: step.isPersistent,
  };
  return mustStopLeavingRun(leavingRun, { stopLimitMs, periodMs })
    ? {
      timeLeftMs: Math.round(timeLeftMs),
      remainingMs: Math.round(remainingMs),
    }
    : undefined;
}
