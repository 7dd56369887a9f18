/** Who the other entries are, as they announced themselves in the store and as the settings name them. */
import type { Clock } from "@coltsfootpond/common";
import type {
  CellSettings,
  HostPort,
  StateRow,
  StateStore,
} from "@coltsfootpond/ports";
import { STORE_TIMEOUT_MS } from "./constants.ts";
import type { ProcessorShares } from "./lease_priority.ts";
import type { CellLog } from "./log.ts";
import {
  decodeRow,
  encodeRow,
  isPeerKey,
  peerKey,
  type PeerRow,
} from "./rows.ts";
import type { TableFollower } from "./table_follower.ts";

/** Between tries to announce this entry. */
const ANNOUNCE_DELAY_MS = 300;

export interface PeerRegistryOptions {
  readonly settings: CellSettings;
  readonly follower: TableFollower;
  readonly store: StateStore;
  readonly clock: Clock;
  readonly log: CellLog;
}

/** Announces this entry and keeps what others announced. */
export class PeerRegistry {
  readonly #options: PeerRegistryOptions;
  #announced: readonly PeerRow[] = [];
  #shares: ProcessorShares = { largest: 0, count: 0 };
  #addresses: readonly HostPort[];
  #isStopped = false;

  private constructor(options: PeerRegistryOptions) {
    this.#options = options;
    this.#addresses = this.#listAddresses();
    options.follower.changes.subscribe((rows) => this.#applyRows(rows));
  }

  static create(options: PeerRegistryOptions): PeerRegistry {
    return new PeerRegistry(options);
  }

  /** Where the other entries take requests of peers. */
  get addresses(): readonly HostPort[] {
    return this.#addresses;
  }

  /** Of all entries that announced one, this entry included. */
  get processorShares(): ProcessorShares {
    return this.#shares;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Writes where peers reach this entry, once for each life of the process. */
  async announce(): Promise<void> {
    const { settings, clock, log, store, follower } = this.#options;
    const { peerAddress: peers, processorShare } = settings;
    while (peers !== undefined && !this.#isStopped) {
      await clock.sleep(ANNOUNCE_DELAY_MS);
      if (!follower.isLoaded) continue;
      const key = peerKey(settings.entry);
      const row = follower.get(key)?.value;
      const known = row && decodeRow<PeerRow>(row);
      const isKnown = known?.host === peers.host &&
        known.port === peers.port && known.processorShare === processorShare;
      if (isKnown) return;
      const value = encodeRow({ ...peers, processorShare });
      const outcome = await store.transact(
        { conditions: [], puts: [{ key, value }], deletes: [] },
        STORE_TIMEOUT_MS,
      );
      if (outcome.kind === "committed") return;
      log.warn("peer.announce_failed", { kind: outcome.kind });
    }
  }

  #applyRows(rows: readonly StateRow[]): void {
    if (!rows.some(({ key }) => isPeerKey(key))) return;
    this.#announced = [...this.#options.follower.rows()].filter(({ key }) =>
      isPeerKey(key)
    ).map(({ value }) => decodeRow<PeerRow>(value));
    this.#shares = {
      largest: Math.max(
        0,
        ...this.#announced.map(({ processorShare }) => processorShare),
      ),
      count: this.#announced.length,
    };
    this.#addresses = this.#listAddresses();
  }

  #listAddresses(): readonly HostPort[] {
    const { peerAddress: own, seeds } = this.#options.settings;
    const byName = new Map(
      [...seeds, ...this.#announced].map(({ host, port }) => [
        `${host}:${port}`,
        { host, port },
      ]),
    );
    if (own !== undefined) byName.delete(`${own.host}:${own.port}`);
    return [...byName.values()];
  }
}
