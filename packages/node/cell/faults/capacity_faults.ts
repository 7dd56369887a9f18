/**
 * Capacities that shrink and grow while workers run. Once the other faults are over, each start must
 * fit into the room that the worker has shown, in which a smaller capacity counts some time later.
 */
import { nextInteger, type Random } from "@coltsfootpond/common";
import type { CellResources, TaskName } from "@coltsfootpond/policy";
import type { CellSimulation } from "../cell_simulation.ts";
import type { WorkerFake } from "../workers_fake.ts";

const ACCELERATORS = [0, 2, 4, 8] as const;
const MAXIMUM_PERIOD_MS = 1_500;
/** Time from which a smaller capacity counts: 3 s and one heartbeat (the platform's rules). */
const NOTICE_MS = 4_500;

/** The accelerators that a worker has from a time on. */
interface CapacityChange {
  readonly worker: WorkerFake;
  readonly atMs: number;
  readonly accelerators: number;
}

export interface CapacityFaultsOptions {
  readonly simulation: CellSimulation;
  readonly random: Random;
  readonly getNeed: (task: TaskName) => CellResources;
}

export class CapacityFaults {
  readonly violations: string[] = [];
  readonly #options: CapacityFaultsOptions;
  readonly #changes: CapacityChange[] = [];
  #isChecking = false;
  #hasEnded = false;

  private constructor(options: CapacityFaultsOptions) {
    this.#options = options;
    options.simulation.startListeners.push((worker) => this.#check(worker));
  }

  static create(options: CapacityFaultsOptions): CapacityFaults {
    const faults = new CapacityFaults(options);
    faults.#changeLater();
    return faults;
  }

  /** Checks the starts from now on. */
  beginChecks(): void {
    this.#isChecking = true;
  }

  /** Gives all workers their whole capacity for good. */
  end(): void {
    this.#hasEnded = true;
    for (const worker of this.#options.simulation.workers.values()) {
      this.#setAccelerators(worker, ACCELERATORS.at(-1)!);
    }
  }

  #changeLater(): void {
    const { simulation, random } = this.#options;
    simulation.clock.after(nextInteger(random, MAXIMUM_PERIOD_MS), () => {
      if (this.#hasEnded) return;
      const workers = [...simulation.workers.values()];
      const worker = workers[nextInteger(random, workers.length)]!;
      const number = nextInteger(random, ACCELERATORS.length);
      this.#setAccelerators(worker, ACCELERATORS[number]!);
      this.#changeLater();
    });
  }

  #setAccelerators(worker: WorkerFake, accelerators: number): void {
    const atMs = this.#options.simulation.clock.nowMs();
    const { capacity } = worker.record;
    const earlier = { worker, atMs, accelerators: capacity.accelerators };
    this.#changes.push(earlier, { worker, atMs, accelerators });
    Object.assign(worker.record, { capacity: { ...capacity, accelerators } });
  }

  #check(worker: WorkerFake): void {
    if (!this.#isChecking) return;
    const { simulation, getNeed } = this.#options;
    const nowMs = simulation.clock.nowMs();
    const used = worker.running.reduce(
      (sum, task) => sum + getNeed(task).accelerators,
      0,
    );
    const recent = this.#changes.filter((change) =>
      change.worker === worker && nowMs - change.atMs <= NOTICE_MS
    );
    const room = Math.max(
      worker.record.capacity.accelerators,
      ...recent.map(({ accelerators }) => accelerators),
    );
    if (used <= room) return;
    this.violations.push(
      `${worker.record.worker} at ${Math.round(nowMs)} ms: ${used} of ${room}`,
    );
  }
}
