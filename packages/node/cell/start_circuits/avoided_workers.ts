/** Chooses the workers on which a unit is not started in a round, as long as there are others. */
import type { WorkerName } from "@coltsfootpond/common";
import { isEligible, type WorkerView } from "@coltsfootpond/policy";
import type { Unit } from "../live_job.ts";
import type { StartLimits } from "./start_circuits.ts";

/**
 * How long a unit waits for a worker on which it has not failed; no other may be able to run it.
 */
const AVOID_WAIT_MS = 2_000;
const NO_WORKERS: ReadonlySet<WorkerName> = new Set();

export class AvoidedWorkers {
  readonly #workers: readonly WorkerView[];
  /** Workers that may run the step, whatever their free capacity. */
  readonly #eligibleByStep = new Map<string, ReadonlySet<WorkerName>>();

  private constructor(workers: readonly WorkerView[]) {
    this.#workers = workers;
  }

  /** For one round. */
  static create(workers: readonly WorkerView[]): AvoidedWorkers {
    return new AvoidedWorkers(workers);
  }

  /** Workers on which the unit has failed, and those that reject its starts while others may not. */
  list(
    unit: Unit,
    waitedMs: number,
    limits: StartLimits | undefined,
  ): ReadonlySet<WorkerName> {
    const failing = waitedMs < AVOID_WAIT_MS ? unit.failedOn : NO_WORKERS;
    if (limits === undefined || limits.avoid.size === 0) return failing;
    const eligible = this.#listEligible(unit);
    const rejecting = [...limits.avoid].filter((worker) =>
      eligible.has(worker)
    );
    // Where all reject them, the next one is sent to the worker that has done so first.
    const avoided = rejecting.length < eligible.size
      ? rejecting
      : rejecting.slice(1);
    return new Set([...failing, ...avoided]);
  }

  #listEligible({ step, stepKey, count, job }: Unit): ReadonlySet<WorkerName> {
    const known = this.#eligibleByStep.get(stepKey);
    if (known !== undefined) return known;
    const { service } = job.spec;
    const request = { step, stepKey, count, service, avoid: NO_WORKERS };
    const eligible = new Set(
      this.#workers.filter((view) => isEligible(view, request)).map((
        { worker },
      ) => worker),
    );
    this.#eligibleByStep.set(stepKey, eligible);
    return eligible;
  }
}
