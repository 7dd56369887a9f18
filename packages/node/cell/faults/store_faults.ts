/** Faults of the fake store: writes that are refused, lost, or carried out late. */
import { nextInteger, type Random } from "@coltsfootpond/common";
import type { TransactOutcome } from "@coltsfootpond/ports";
import type { CellSimulation } from "../cell_simulation.ts";

export type StoreFault = "none" | "refuses" | "loses" | "delays";

const LOST: TransactOutcome = {
  kind: "unavailable",
  effect: "lost",
  reason: "test",
};
/** Share of the writes that a faulty store loses or delays. */
const FAULTY_SHARE = 0.4;
const MINIMUM_DELAY_MS = 1_000;
const DELAY_RANGE_MS = 5_000;

/** The writes of the simulation's store fail as `current` states. */
export class StoreFaults {
  current: StoreFault = "none";

  private constructor(simulation: CellSimulation, random: Random) {
    const { store, clock } = simulation;
    const { transact } = store;
    store.transact = async (...call): Promise<TransactOutcome> => {
      const fault = this.current;
      if (fault === "refuses") {
        return { kind: "unavailable", effect: "refused", reason: "test" };
      }
      if (fault === "none" || random.next() >= FAULTY_SHARE) {
        return await transact(...call);
      }
      if (fault === "delays") {
        const delayMs = MINIMUM_DELAY_MS + nextInteger(random, DELAY_RANGE_MS);
        clock.after(delayMs, () => void transact(...call));
        return LOST;
      }
      // The write takes effect or never does, and its answer is lost.
      if (random.next() < 0.5) await transact(...call);
      return LOST;
    };
  }

  static create(simulation: CellSimulation, random: Random): StoreFaults {
    return new StoreFaults(simulation, random);
  }

  /** Runs `action` while the store has no fault. */
  async suspend(action: () => Promise<void>): Promise<void> {
    const fault = this.current;
    this.current = "none";
    await action();
    this.current = fault;
  }
}
