/**
 * Open connections that go silent for good, without a reset, while new ones work: those to the
 * store, to some of the workers, or all at once, and again seconds later.
 */
import { nextInteger, type Random } from "@coltsfootpond/common";
import type { TransactOutcome } from "@coltsfootpond/ports";
import type { CellSimulation } from "../cell_simulation.ts";

const MAXIMUM_PAUSE_MS = 5_000;
/** Shares of the silences that include the store, and each worker. */
const STORE_SHARE = 0.5;
const WORKER_SHARE = 0.6;
/** Share of the writes that the store has received before its answers are lost. */
const RECEIVED_SHARE = 0.5;
const UNANSWERED: TransactOutcome = {
  kind: "unavailable",
  effect: "lost",
  reason: "timeout",
  isSilent: true,
};

export interface SilentConnectionOptions {
  readonly simulation: CellSimulation;
  readonly random: Random;
}

export class SilentConnectionFaults {
  readonly #options: SilentConnectionOptions;
  #isEnded = false;
  #isStoreSilent = false;
  #isSuspended = false;
  /** The time-out of the first call after which the client opens new connections. */
  #storeSilentUntilMs: number | undefined;

  private constructor(options: SilentConnectionOptions) {
    this.#options = options;
    this.#wrapStore();
    this.#scheduleSilence();
  }

  static create(options: SilentConnectionOptions): SilentConnectionFaults {
    return new SilentConnectionFaults(options);
  }

  /** No connection goes silent from now on; those that have stay so. */
  end(): void {
    this.#isEnded = true;
  }

  /** Runs `action`, which uses connections of its own to the store. */
  async suspend(action: () => Promise<void>): Promise<void> {
    this.#isSuspended = true;
    await action();
    this.#isSuspended = false;
  }

  #scheduleSilence(): void {
    const { simulation, random } = this.#options;
    const pauseMs = 1 + nextInteger(random, MAXIMUM_PAUSE_MS);
    simulation.clock.after(pauseMs, () => {
      if (this.#isEnded) return;
      this.#silence();
      this.#scheduleSilence();
    });
  }

  #silence(): void {
    const { simulation, random } = this.#options;
    if (random.next() < STORE_SHARE) {
      this.#isStoreSilent = true;
      this.#storeSilentUntilMs = undefined;
    }
    for (const worker of simulation.workers.values()) {
      if (random.next() < WORKER_SHARE) worker.silenceCount++;
    }
  }

  #wrapStore(): void {
    const { store, clock } = this.#options.simulation;
    const { transact } = store;
    store.transact = async (...call): Promise<TransactOutcome> => {
      const [, timeoutMs] = call;
      if (!this.#isSilent(timeoutMs)) return await transact(...call);
      if (this.#options.random.next() < RECEIVED_SHARE) await transact(...call);
      await clock.sleep(timeoutMs);
      return UNANSWERED;
    };
  }

  /** Whether a call to the store uses a connection that has gone silent. */
  #isSilent(timeoutMs: number): boolean {
    if (!this.#isStoreSilent || this.#isSuspended) return false;
    const nowMs = this.#options.simulation.clock.nowMs();
    this.#storeSilentUntilMs ??= nowMs + timeoutMs;
    if (nowMs >= this.#storeSilentUntilMs) this.#isStoreSilent = false;
    return this.#isStoreSilent;
  }
}
