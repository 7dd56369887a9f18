/**
 * Addresses and processor shares of the entries, from their announcements in the store and from the
 * settings.
 */
import type { Clock } from "@coltsfootpond/common";
import type {
  CellSettings,
  HostPort,
  StateRow,
  StateStore,
} from "@coltsfootpond/ports";
import { STORE_TIMEOUT_MS } from "./constants.ts";
import type { ProcessorShares } from "./lease/lease_priority.ts";
import { BACKGROUND_ACTIVITY } from "./background/activities.ts";
import type { CellLog } from "./log.ts";
import { encodeRow, isPeerKey, peerKey, type PeerRow } from "./rows.ts";
import { readPeerRow } from "./state_rows/row_readers.ts";
import type { TableFollower } from "./table_follower.ts";

/** Delay between tries to announce this entry. */
const ANNOUNCE_DELAY_MS = 300;

export interface PeerRegistryOptions {
  readonly settings: CellSettings;
  readonly follower: TableFollower;
  readonly store: StateStore;
  readonly clock: Clock;
  readonly log: CellLog;
}

/** Announces this entry and keeps the announcements of the others. */
export class PeerRegistry {
  readonly #options: PeerRegistryOptions;
  /** By key; rows that cannot be decoded are left out. */
  readonly #announced = new Map<string, PeerRow>();
  #shares: ProcessorShares = { largest: 0, count: 0 };
  #addresses: readonly HostPort[];
  #isStopped = false;

  private constructor(options: PeerRegistryOptions) {
    this.#options = options;
    this.#addresses = this.#listAddresses();
    options.follower.onChanged(
      BACKGROUND_ACTIVITY.APPLY_PEER_ROWS,
      (rows) => this.#applyRows(rows),
    );
  }

  static create(options: PeerRegistryOptions): PeerRegistry {
    return new PeerRegistry(options);
  }

  /** Addresses of the other entries' peer servers. */
  get addresses(): readonly HostPort[] {
    return this.#addresses;
  }

  /** Shares of all entries that announced one, this entry included. */
  get processorShares(): ProcessorShares {
    return this.#shares;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Stores this entry's peer address and processor share, once per lifetime of the process. */
  async announce(): Promise<void> {
    const { settings, clock, log, store, follower } = this.#options;
    const { peerAddress: ownAddress, processorShare } = settings;
    while (ownAddress !== undefined && !this.#isStopped) {
      await clock.sleep(ANNOUNCE_DELAY_MS);
      if (!follower.isLoaded) continue;
      const key = peerKey(settings.entry);
      const known = readPeerRow(follower, follower.get(key));
      const isKnown = known?.host === ownAddress.host &&
        known.port === ownAddress.port &&
        known.processorShare === processorShare;
      if (isKnown) return;
      const value = encodeRow({ ...ownAddress, processorShare });
      const outcome = await store.transact(
        { conditions: [], puts: [{ key, value }], deletes: [] },
        STORE_TIMEOUT_MS,
      );
      if (outcome.kind === "committed") return;
      log.warn("peer.announce_failed", { kind: outcome.kind });
    }
  }

  #applyRows(rows: readonly StateRow[]): void {
    const announcements = rows.filter(({ key }) => isPeerKey(key));
    if (announcements.length === 0) return;
    for (const row of announcements) {
      const announced = readPeerRow(this.#options.follower, row);
      if (announced === undefined) this.#announced.delete(row.key);
      else this.#announced.set(row.key, announced);
    }
    this.#shares = {
      largest: [...this.#announced.values()].reduce(
        (largest, { processorShare }) => Math.max(largest, processorShare),
        0,
      ),
      count: this.#announced.size,
    };
    this.#addresses = this.#listAddresses();
  }

  #listAddresses(): readonly HostPort[] {
    const { peerAddress: ownAddress, seeds } = this.#options.settings;
    const byName = new Map(
      [...seeds, ...this.#announced.values()].map(({ host, port }) => [
        `${host}:${port}`,
        { host, port },
      ]),
    );
    if (ownAddress !== undefined) {
      byName.delete(`${ownAddress.host}:${ownAddress.port}`);
    }
    return [...byName.values()];
  }
}
