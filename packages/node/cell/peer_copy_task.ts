/**
 * Keeps the operators' rows fresh while the store cannot be reached directly: asks peers for their
 * copies. A call of the store through a peer would bring the same rows over the peer's link once
 * more for each asker; a copy costs the peer nothing but the answer.
 */
import type { Clock } from "@coltsfootpond/common";
import type { CellLog } from "./log.ts";
import type { StoreRelay } from "./store_relay.ts";
import type { TableFollower } from "./table_follower.ts";

/** A quarter of the shortest bound on new versions (2 s), the peer's own delay comes on top. */
const COPY_PERIOD_MS = 500;
const COPY_TIMEOUT_MS = 900;

export interface PeerCopyTaskOptions {
  readonly relay: Pick<StoreRelay, "isDirectDown" | "askOperatorRows">;
  readonly follower: TableFollower;
  readonly clock: Clock;
  readonly log: CellLog;
}

/** Asks one peer at a time. */
export class PeerCopyTask {
  readonly #options: PeerCopyTaskOptions;
  #isStopped = false;

  private constructor(options: PeerCopyTaskOptions) {
    this.#options = options;
  }

  static create(options: PeerCopyTaskOptions): PeerCopyTask {
    return new PeerCopyTask(options);
  }

  /** Runs until stopped. */
  async run(): Promise<void> {
    const { clock, relay, follower } = this.#options;
    while (!this.#isStopped) {
      await clock.sleep(COPY_PERIOD_MS);
      if (relay.isDirectDown && follower.isLoaded) await this.#ask();
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #ask(): Promise<void> {
    const { relay, follower, log } = this.#options;
    const newest = Math.max(
      0,
      ...[...follower.rows()].map(({ version }) => version),
    );
    const answer = await relay.askOperatorRows(newest, COPY_TIMEOUT_MS);
    if ("kind" in answer) {
      log.info("peer.copy_failed", { reason: answer.reason });
      return;
    }
    follower.applyNewer(answer.rows);
  }
}
