/** Chooses the units whose starts are tried in a round while circuits are open. */
import type { LiveJob, Unit } from "../live_job.ts";
import { hasStarted, type TrackedCircuit } from "./tracked_circuit.ts";

/** So that a trial that finds no room keeps no other circuit from its trial. */
const MAXIMUM_TRIALS_PER_ROUND = 8;
/** One trial each time for all circuits together, however many are open. */
const TRIAL_PERIOD_MS = 20;

export interface TrialRequest {
  readonly jobs: readonly LiveJob[];
  readonly nowMs: number;
  /** The open circuit on which the unit depends. */
  readonly findOpen: (unit: Unit) => TrackedCircuit | undefined;
  /** Whether the unit must not start for another reason. */
  readonly isBlocked: (unit: Unit) => boolean;
  /** Called for each waiting unit that depends on an open circuit. */
  readonly onWithheld: (unit: Unit, tracked: TrackedCircuit) => void;
}

export class StartTrials {
  /** The trials of this round. */
  #units: ReadonlySet<Unit> = new Set();
  #nextTrialMs = Number.NEGATIVE_INFINITY;

  private constructor() {}

  static create(): StartTrials {
    return new StartTrials();
  }

  has(unit: Unit): boolean {
    return this.#units.has(unit);
  }

  clear(): void {
    this.#units = new Set();
  }

  /** One unit of each circuit that is due and has no trial under way, least recently tried first. */
  choose(request: TrialRequest): void {
    const { nowMs } = request;
    const waiting = listWaiting(request);
    this.clear();
    if (nowMs < this.#nextTrialMs) return;
    const due = [...waiting].filter(([{ circuit }]) =>
      circuit.nextTrialMs <= nowMs
    ).sort(([left], [right]) => left.consideredMs - right.consideredMs);
    this.#units = new Set(
      due.slice(0, MAXIMUM_TRIALS_PER_ROUND).map(([tracked, units]) => {
        tracked.consideredMs = nowMs;
        // A unit that finds no room keeps no other unit of the circuit from its trial.
        return units[tracked.consideredTrials++ % units.length]!;
      }),
    );
  }

  /** The unit is being placed. */
  recordPlacement(unit: Unit, nowMs: number): void {
    if (!this.#units.has(unit)) return;
    this.#nextTrialMs = Math.max(nowMs, this.#nextTrialMs) + TRIAL_PERIOD_MS;
  }
}

/** The units that may be tried, by circuit; none of a circuit of which a start is under way. */
function listWaiting(
  { jobs, findOpen, isBlocked, onWithheld }: TrialRequest,
): ReadonlyMap<TrackedCircuit, readonly Unit[]> {
  const waiting = new Map<TrackedCircuit, Unit[]>();
  const busy = new Set<TrackedCircuit>();
  for (const job of jobs) {
    for (const unit of job.units.values()) {
      const tracked = findOpen(unit);
      if (tracked === undefined) continue;
      if (unit.run !== undefined) {
        // A run that is being stopped may last until a lease expires.
        if (!unit.run.isClosing && !hasStarted(unit)) busy.add(tracked);
        continue;
      }
      onWithheld(unit, tracked);
      if (isBlocked(unit)) continue;
      const units = waiting.get(tracked);
      if (units === undefined) waiting.set(tracked, [unit]);
      else units.push(unit);
    }
  }
  busy.forEach((tracked) => waiting.delete(tracked));
  return waiting;
}
