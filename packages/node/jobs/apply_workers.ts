/** Passes the fleet's word on its workers to the placement engine. */
import type { FleetReport } from "@coltsfootpond/ports";
import type { PlacementEngine } from "@coltsfootpond/policy";

/** Tells the engine of workers that have come or gone. */
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
