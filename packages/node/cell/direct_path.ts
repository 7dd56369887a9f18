/**
 * This entry's own connection to the store. After a failed call the path counts as down until a
 * probe succeeds. Reads and long polls in progress then end at once.
 */
import type { Clock } from "@coltsfootpond/common";
import {
  lost,
  type StateStore,
  STORE_TABLE,
  type Unavailable,
} from "@coltsfootpond/ports";
import { Subject } from "rxjs";
import { BACKGROUND_ACTIVITY } from "./background/activities.ts";
import { guardStore } from "./background/guarded_ports.ts";
import {
  keepRunning,
  runInBackground,
  subscribeGuarded,
} from "./background/run_in_background.ts";
import type { CellLog } from "./log.ts";
import {
  runStoreCall,
  type StoreCall,
  type StoreOutcome,
} from "./peer_messages.ts";
import { LEASE_KEY } from "./rows.ts";

/** Period of the probes while the path is down. */
export const DIRECT_PROBE_PERIOD_MS = 250;
/** Enough for the slowest store, see `STORE_TIMEOUT_MS`. */
const DIRECT_PROBE_TIMEOUT_MS = 500;
const { PROBE_STORE } = BACKGROUND_ACTIVITY;

export interface DirectPathOptions {
  readonly store: StateStore;
  readonly clock: Clock;
  readonly log: CellLog;
}

/** Calls the store directly and tracks whether that works. */
export class DirectPath {
  readonly #options: DirectPathOptions;
  /** Emits when the path turns down. */
  readonly losses = new Subject<void>();
  #isDown = false;
  /** How often the path has turned up again. */
  #regains = 0;
  #isProbing = false;
  #isClosed = false;

  private constructor(options: DirectPathOptions) {
    this.#options = options;
  }

  static create(options: DirectPathOptions): DirectPath {
    const store = guardStore(options.store, options.log);
    return new DirectPath({ ...options, store });
  }

  /** Whether a call has failed and no call or probe has succeeded since. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /** Stops the probes. */
  close(): void {
    this.#isClosed = true;
  }

  /** Calls the store. Reads and long polls end as soon as another call finds the path down. */
  async call(call: StoreCall): Promise<StoreOutcome> {
    const regainsBefore = this.#regains;
    const own = runStoreCall(this.#options.store, call);
    const outcome = call.kind === "transact"
      ? await own
      : await this.#race(own);
    if (outcome.kind !== "unavailable") this.#recordAnswer();
    // Calls from before the path was regained may still wait on connections that have gone silent.
    else if (regainsBefore === this.#regains) this.#recordLoss(call, outcome);
    return outcome;
  }

  #race(own: Promise<StoreOutcome>): Promise<StoreOutcome> {
    return new Promise((resolve, reject) => {
      const { log } = this.#options;
      const losses = subscribeGuarded(
        this.losses,
        log,
        PROBE_STORE,
        () => resolve(lost("the direct path to the store is down")),
      );
      own.then(resolve, reject).finally(() => losses.unsubscribe());
    });
  }

  #recordAnswer(): void {
    if (!this.#isDown) return;
    this.#isDown = false;
    this.#regains++;
    this.#options.log.info("store.direct_regained");
  }

  #recordLoss({ kind }: StoreCall, failure: Unavailable): void {
    if (this.#isDown) return;
    this.#isDown = true;
    const { log } = this.#options;
    const { effect, reason, isSilent } = failure;
    log.info("store.direct_lost", { call: kind, effect, reason, isSilent });
    this.losses.next();
    runInBackground(log, PROBE_STORE, () => this.#probe());
  }

  /** Probes the path until it is up; one probe runs at a time. */
  async #probe(): Promise<void> {
    if (this.#isProbing) return;
    this.#isProbing = true;
    try {
      await keepRunning({
        ...this.#options,
        activity: PROBE_STORE,
        isStopped: () => !this.#isDown || this.#isClosed,
      }, () => this.#readUntilUp());
    } finally {
      this.#isProbing = false;
    }
  }

  /** Reads the lease row until that succeeds. */
  async #readUntilUp(): Promise<void> {
    const { clock, store } = this.#options;
    while (this.#isDown && !this.#isClosed) {
      await clock.sleep(DIRECT_PROBE_PERIOD_MS);
      const outcome = await store.read(
        STORE_TABLE.STATE,
        { fromKey: LEASE_KEY, toKey: `${LEASE_KEY}~` },
        DIRECT_PROBE_TIMEOUT_MS,
      );
      if (outcome.kind === "rows") this.#recordAnswer();
    }
  }
}
