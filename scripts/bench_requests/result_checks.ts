/** Compares the figures of a run with the bounds, and the callers' results with the runners' ledgers. */
import type { RunnerLedgers } from "./bench_cluster.ts";
import type { CallRecord } from "./load.ts";
import type { PhaseReport } from "./phases.ts";

const MAXIMUM_ADDED_P50_MS = 1;
const MINIMUM_GOODPUT_RATIO = 0.9;

/** One measured figure with its limit; `kept` is true when it is within the limit. */
export interface Bound {
  readonly name: string;
  readonly measured: number;
  readonly limit: number;
  readonly kept: boolean;
}

/** Number of cases in which each promise was broken; all zero in a run that passes. */
export interface BrokenPromises {
  /** Answers that belong to another request. */
  readonly foreignAnswers: number;
  /** Calls of class `not_run` that a runner executed. */
  readonly notRunButRan: number;
  /** Non-idempotent calls that were executed more than once. */
  readonly strictRanTwice: number;
  /** Slots in use beyond the limit, on the runner with most. */
  readonly overfullRunners: number;
  /** Executions that started in the failure domain while it was out of service. */
  readonly startsInDomainOut: number;
}

function findPhase(phases: readonly PhaseReport[], name: string): PhaseReport {
  const phase = phases.find((candidate) => candidate.phase === name);
  if (phase === undefined) {
    throw new Error(`the results have no phase "${name}"`);
  }
  return phase;
}

function createUpperBound(
  name: string,
  measured: number,
  limit: number,
): Bound {
  return { name, measured, limit, kept: measured <= limit };
}

/** Needs the phases of a whole run; throws when one is missing. */
export function checkBounds(
  phases: readonly PhaseReport[],
): readonly Bound[] {
  const overhead = findPhase(phases, "overhead");
  const goodputs = phases
    .filter(({ phase }) => phase.startsWith("goodput"))
    .map(({ answeredPerSecond }) => answeredPerSecond);
  const best = Math.max(...goodputs);
  const healthy = findPhase(phases, "goodput 0.5x");
  const silent = findPhase(phases, "a tenth silent");
  const after = findPhase(phases, "after the burst");
  const timeoutMs = silent.details["progressTimeoutMs"] ?? 0;
  const ratio = findPhase(phases, "goodput 3x").answeredPerSecond / best;
  return [
    createUpperBound(
      "added p50 at half load, ms",
      overhead.details["addedP50Ms"] ?? Infinity,
      MAXIMUM_ADDED_P50_MS,
    ),
    {
      name: "goodput at 3x as a share of the best",
      measured: ratio,
      limit: MINIMUM_GOODPUT_RATIO,
      kept: ratio >= MINIMUM_GOODPUT_RATIO,
    },
    createUpperBound(
      "p99 with a tenth silent, ms",
      silent.p99Ms,
      2 * healthy.p99Ms + timeoutMs,
    ),
    createUpperBound("p99 after the burst, ms", after.p99Ms, 2 * healthy.p99Ms),
  ];
}

/** Needs the records of all calls and the phases and ledgers of the whole run. */
export function countBrokenPromises(
  calls: readonly CallRecord[],
  phases: readonly PhaseReport[],
  ledger: RunnerLedgers,
  slots: number,
): BrokenPromises {
  const runs = new Map<string, number>();
  for (const { requestId } of ledger.runs) {
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
  }
  const count = (test: (call: CallRecord) => boolean): number =>
    calls.filter(test).length;
  return {
    foreignAnswers: phases.reduce((sum, { foreign }) => sum + foreign, 0),
    notRunButRan: count(({ requestId, resultClass }) =>
      resultClass === "not_run" && runs.has(requestId)
    ),
    strictRanTwice: count(({ requestId, nonIdempotent }) =>
      nonIdempotent && (runs.get(requestId) ?? 0) > 1
    ),
    overfullRunners: Math.max(0, ledger.maximumInUse - slots),
    startsInDomainOut:
      findPhase(phases, "one domain out").details["startedInside"] ??
        0,
  };
}
