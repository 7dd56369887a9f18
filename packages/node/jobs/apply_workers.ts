/** Forwards the worker states of a fleet report to the placement engine. */
import type { FleetReport } from "@coltsfootpond/ports";
import type { PlacementEngine } from "@coltsfootpond/policy";

/** Applies each reported worker to the engine as up or down. */
export function applyWorkers(
  engine: PlacementEngine,
  { workers }: FleetReport,
  nowMs: number,
): void {
  for (const worker of workers) {
    engine.apply(
      worker.state === "up"
        ? { kind: "worker_up", worker }
        : { kind: "worker_down", worker: worker.name },
      nowMs,
    );
  }
}
