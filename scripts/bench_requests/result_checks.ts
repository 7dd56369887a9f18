/** Holds the figures of one run against the stated bounds, and callers' outcomes against the ledgers. */
import type { RunnerLedgers } from "./bench_cluster.ts";
import type { CallRecord } from "./load.ts";
import type { PhaseReport } from "./phases.ts";

const MAXIMUM_ADDED_P50_MS = 1;
const MINIMUM_GOODPUT_RATIO = 0.9;

export interface Bound {
  readonly name: string;
  readonly measured: number;
  readonly limit: number;
  readonly kept: boolean;
}

/** Promises that the ledgers show to be broken; all zero in a good run. */
export interface BrokenPromises {
  readonly foreignAnswers: number;
  readonly notRunButRan: number;
  readonly strictRanTwice: number;
  readonly overfullRunners: number;
  readonly startsInDomainOut: number;
}

function find(phases: readonly PhaseReport[], name: string): PhaseReport {
  const phase = phases.find((candidate) => candidate.phase === name);
  if (phase === undefined) throw new Error(`no phase ${name}`);
  return phase;
}

function atMost(name: string, measured: number, limit: number): Bound {
  return { name, measured, limit, kept: measured <= limit };
}

export function checkBounds(
  phases: readonly PhaseReport[],
): readonly Bound[] {
  const overhead = find(phases, "overhead");
  const goodputs = phases
    .filter(({ phase }) => phase.startsWith("goodput"))
    .map(({ answeredPerSecond }) => answeredPerSecond);
  const best = Math.max(...goodputs);
  const healthy = find(phases, "goodput 0.5x");
  const silent = find(phases, "a tenth silent");
  const after = find(phases, "after the burst");
  const timeoutMs = silent.details["progressTimeoutMs"] ?? 0;
  const ratio = find(phases, "goodput 3x").answeredPerSecond / best;
  return [
    atMost(
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
    atMost(
      "p99 with a tenth silent, ms",
      silent.p99Ms,
      2 * healthy.p99Ms + timeoutMs,
    ),
    atMost("p99 after the burst, ms", after.p99Ms, 2 * healthy.p99Ms),
  ];
}

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
    strictRanTwice: count(({ requestId, strict }) =>
      strict && (runs.get(requestId) ?? 0) > 1
    ),
    overfullRunners: Math.max(0, ledger.maximumInUse - slots),
    startsInDomainOut:
      find(phases, "one domain out").details["startedInside"] ??
        0,
  };
}
