/**
 * Keeps this entry's operators' rows fresh while the direct path to the store is down, by polling
 * peers for their copies. Relaying the store's long polls would transfer the same rows over the
 * peer's link again for each poller; a peer's copy costs only the answer.
 */
import type { Clock } from "@coltsfootpond/common";
import type { Subscription } from "rxjs";
import { BACKGROUND_ACTIVITY } from "./background/activities.ts";
import {
  keepRunning,
  subscribeGuarded,
} from "./background/run_in_background.ts";
import type { CellLog } from "./log.ts";
import type { StoreRelay } from "./store_relay.ts";
import type { TableFollower } from "./table_follower.ts";

/**
 * A quarter of the shortest required time until a new version is in force (2 s), as the peer's own
 * delay is added.
 */
const COPY_PERIOD_MS = 500;
/** Covers a busy link and a busy event loop of the peer, which answers from memory. */
const COPY_TIMEOUT_MS = 900;
const { COPY_PEER_ROWS } = BACKGROUND_ACTIVITY;

export interface PeerRowsPollerOptions {
  readonly relay: Pick<
    StoreRelay,
    "isDirectDown" | "directLosses" | "fetchOperatorRows"
  >;
  readonly follower: TableFollower;
  readonly clock: Clock;
  readonly log: CellLog;
}

/** Polls one peer at a time; idle while the direct path works. */
export class PeerRowsPoller {
  readonly #options: PeerRowsPollerOptions;
  readonly #losses: Subscription;
  #isPolling = false;

  private constructor(options: PeerRowsPollerOptions) {
    this.#options = options;
    const { relay, log } = options;
    this.#losses = subscribeGuarded(
      relay.directLosses,
      log,
      COPY_PEER_ROWS,
      () => this.#pollWhileDown(),
    );
  }

  static create(options: PeerRowsPollerOptions): PeerRowsPoller {
    return new PeerRowsPoller(options);
  }

  stop(): void {
    this.#losses.unsubscribe();
  }

  async #pollWhileDown(): Promise<void> {
    if (this.#isPolling) return;
    this.#isPolling = true;
    try {
      await keepRunning({
        ...this.#options,
        activity: COPY_PEER_ROWS,
        isStopped: () => !this.#isDue(),
      }, () => this.#pollUntilUp());
    } finally {
      this.#isPolling = false;
    }
  }

  #isDue(): boolean {
    return this.#options.relay.isDirectDown && !this.#losses.closed;
  }

  async #pollUntilUp(): Promise<void> {
    const { clock, relay, follower } = this.#options;
    while (this.#isDue()) {
      await clock.sleep(COPY_PERIOD_MS);
      if (relay.isDirectDown && follower.isLoaded) await this.#poll();
    }
  }

  async #poll(): Promise<void> {
    const { relay, follower, log } = this.#options;
    let newest = 0;
    for (const { version } of follower.rows()) {
      newest = Math.max(newest, version);
    }
    const answer = await relay.fetchOperatorRows(newest, COPY_TIMEOUT_MS);
    if ("kind" in answer) {
      log.info("peer.copy_failed", { reason: answer.reason });
      return;
    }
    follower.applyNewer(answer.rows);
  }
}
