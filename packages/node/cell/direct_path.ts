/**
 * This entry's own path to the store. Once a call failed it is down until a probe succeeds; reads and
 * long polls that wait on it meanwhile end at once.
 */
import type { Clock } from "@coltsfootpond/common";
import { lost, type StateStore, STORE_TABLE } from "@coltsfootpond/ports";
import { Subject } from "rxjs";
import type { CellLog } from "./log.ts";
import {
  runStoreCall,
  type StoreCall,
  type StoreOutcome,
} from "./peer_messages.ts";
import { LEASE_KEY } from "./rows.ts";

/** How often the direct path is probed while it is down. */
export const DIRECT_PROBE_PERIOD_MS = 250;
/** A probe's time-out: the store at its slowest, see `STORE_TIMEOUT_MS`. */
const DIRECT_PROBE_TIMEOUT_MS = 500;

export interface DirectPathOptions {
  readonly store: StateStore;
  readonly clock: Clock;
  readonly log: CellLog;
}

/** Calls of the store over this entry's own link. */
export class DirectPath {
  readonly #options: DirectPathOptions;
  /** Emits when the path is found down. */
  readonly losses = new Subject<void>();
  #isDown = false;
  #isProbing = false;
  #isClosed = false;

  private constructor(options: DirectPathOptions) {
    this.#options = options;
  }

  static create(options: DirectPathOptions): DirectPath {
    return new DirectPath(options);
  }

  get isDown(): boolean {
    return this.#isDown;
  }

  /** Ends the probes. */
  close(): void {
    this.#isClosed = true;
  }

  /** A read or long poll ends as soon as another call finds the path down. */
  async call(call: StoreCall): Promise<StoreOutcome> {
    const own = runStoreCall(this.#options.store, call);
    const outcome = call.kind === "transact"
      ? await own
      : await this.#race(own);
    this.#recordResult(outcome.kind !== "unavailable");
    return outcome;
  }

  #race(own: Promise<StoreOutcome>): Promise<StoreOutcome> {
    return new Promise((resolve, reject) => {
      const losses = this.losses.subscribe(() =>
        resolve(lost("the direct path to the store is down"))
      );
      own.then(resolve, reject).finally(() => losses.unsubscribe());
    });
  }

  #recordResult(isUp: boolean): void {
    if (this.#isDown !== isUp) return;
    this.#isDown = !isUp;
    this.#options.log.info(
      isUp ? "store.direct_regained" : "store.direct_lost",
    );
    if (isUp) return;
    this.losses.next();
    void this.#probe();
  }

  /** Reads one row until that succeeds. */
  async #probe(): Promise<void> {
    if (this.#isProbing) return;
    this.#isProbing = true;
    const { clock, store } = this.#options;
    while (this.#isDown && !this.#isClosed) {
      await clock.sleep(DIRECT_PROBE_PERIOD_MS);
      const outcome = await store.read(
        STORE_TABLE.STATE,
        { fromKey: LEASE_KEY, toKey: `${LEASE_KEY}~` },
        DIRECT_PROBE_TIMEOUT_MS,
      );
      if (outcome.kind === "rows") this.#recordResult(true);
    }
    this.#isProbing = false;
  }
}
