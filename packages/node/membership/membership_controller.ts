/**
 * Registers this entry, renews its row and tracks the other members. The rows are authoritative for
 * which entries are registered; the mesh shows which of them are connected now.
 */
import type { EntryName, Timer } from "@coltsfootpond/common";
import {
  type PrioritisedTablePort,
  type TransactionOutcome,
  WRITE_PRIORITY,
} from "@coltsfootpond/ports";
import { type Observable, Subject } from "rxjs";
import {
  ENTRY_RENEWAL_PERIOD_MS,
  STATE_CALL_TIMEOUT_MS,
} from "../constants.ts";
import { type EntryRow, getEntryKey, MEMBER_INDEX_KEY } from "../rows.ts";
import type { RowSnapshot, RowWatcher } from "../state/row_watcher.ts";
import { type RowChange, transactChange } from "../state/rows_json.ts";
import type {
  Controller,
  EntryContext,
  Member,
  MembershipView,
  Mesh,
} from "../types.ts";
import type { PeerHeartbeats } from "./peer_heartbeats.ts";
import { MemberObservations } from "./member_observations.ts";
import {
  createRegistration,
  createRemoval,
  createRenewal,
} from "./member_rows.ts";

/** Network address and ports of this entry. */
export interface EntryAddress {
  readonly host: string;
  readonly httpPort: number;
  readonly meshPort: number;
}

export interface MembershipControllerOptions {
  readonly context: EntryContext;
  readonly mesh: Mesh;
  readonly table: PrioritisedTablePort;
  readonly rows: RowWatcher;
  readonly peers: PeerHeartbeats;
  readonly address: EntryAddress;
}

export class MembershipController implements Controller, MembershipView {
  readonly name = "membership";
  readonly #options: MembershipControllerOptions;
  readonly #changes = new Subject<readonly Member[]>();
  readonly #observations = MemberObservations.create();
  #registered = false;
  /** Another process has registered under this entry's name, so this one stops acting. */
  #displaced = false;
  #hasContactedEveryMember = false;
  /** Version of the member index read after the registration of this incarnation. */
  #registeredVersion = Number.POSITIVE_INFINITY;
  #leaving = false;
  #stopped = false;
  #writing = false;
  #timer: Timer | undefined;
  #publishedFingerprint = "";

  private constructor(options: MembershipControllerOptions) {
    this.#options = options;
  }

  static create(options: MembershipControllerOptions): MembershipController {
    const controller = new MembershipController(options);
    options.rows.add({
      listKeys: () => controller.#listKeys(),
      applySnapshot: (snapshot) => controller.#applySnapshot(snapshot),
    });
    return controller;
  }

  get changes(): Observable<readonly Member[]> {
    return this.#changes;
  }

  /** Whether this incarnation's row is stored; without it an entry may own nothing. */
  isRegistered(): boolean {
    return this.#registered && !this.#displaced;
  }

  isLeaving(): boolean {
    return this.#leaving;
  }

  /**
   * Whether this entry may take ownership: it is registered, and every other member is connected or
   * was observed for `ENTRY_EXPIRY_MS` without a renewal. One connected member suffices if it has
   * contacted every member, reaches the table service and has read this entry's registration: then
   * no owner can conclude a cluster-wide outage without this entry. Once true, it stays true while
   * this entry is registered.
   */
  hasContactedEveryMember(): boolean {
    if (!this.isRegistered()) return this.#hasContactedEveryMember = false;
    if (this.#hasContactedEveryMember || !this.#observations.isComplete()) {
      return this.#hasContactedEveryMember;
    }
    return this.#hasContactedEveryMember = this.#isConfirmedByPeer() ||
      this.list().every((member) =>
        member.connected || this.isExpired(member.entry)
      );
  }

  #isConfirmedByPeer(): boolean {
    return this.#options.peers.listRecent().some((heartbeat) =>
      heartbeat.settled && heartbeat.tableReachable &&
      heartbeat.membersVersion >= this.#registeredVersion
    );
  }

  /** Version of the member index as last read; 0 before the first read. */
  get membersVersion(): number {
    return this.#observations.index?.version ?? 0;
  }

  /** Whether the member's row was observed for `ENTRY_EXPIRY_MS` without a renewal. */
  isExpired(entry: EntryName): boolean {
    return this.#observations.isExpired(entry);
  }

  list(): readonly Member[] {
    const self = this.#options.context.identity.entry;
    const connected = new Set(this.#options.mesh.listConnected());
    return this.#observations.list().map(({ entry, row }) => ({
      entry,
      row,
      connected: entry === self || connected.has(entry),
      self: entry === self,
    }));
  }

  /** Resolves after the first attempt to register, which is retried in every renewal period. */
  async start(): Promise<void> {
    this.#timer = this.#options.context.clock.every(
      ENTRY_RENEWAL_PERIOD_MS,
      () => void this.#maintainRow(),
    );
    await this.#maintainRow();
  }

  /** Announces in the row that this entry is leaving, so that it gains no further ownership. */
  async leave(): Promise<void> {
    if (this.#leaving) return;
    this.#leaving = true;
    this.#emit("membership.leaving");
    await this.#maintainRow();
  }

  /** Removes this entry's row and its name in the index. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.#timer?.cancel();
    if (!this.isRegistered()) return;
    await this.#remove(this.#options.context.identity.entry);
    this.#registered = false;
  }

  #emit(event: string, detail?: string): void {
    const { identity, events } = this.#options.context;
    events.emit(event, { entry: identity.entry }, detail);
  }

  #listKeys(): readonly string[] {
    return this.#observations.listKeys(this.#options.context.clock.nowMs());
  }

  #applySnapshot(snapshot: RowSnapshot): void {
    this.#observations.applySnapshot(snapshot);
    this.#options.peers.resetSeenEntries();
    const { identity } = this.#options.context;
    const own = this.#observations.get(identity.entry)?.row;
    if (this.#registered && own === undefined) this.#registered = false;
    const isDisplaced = own !== undefined &&
      own.incarnation !== identity.incarnation;
    if (this.isRegistered() && isDisplaced) {
      this.#displaced = true;
      this.#emit("membership.displaced", own.incarnation);
    }
    this.#publish();
  }

  async #maintainRow(): Promise<void> {
    if (this.#writing || this.#displaced || this.#stopped) return;
    this.#writing = true;
    try {
      if (this.#registered) await this.#renew();
      else await this.#register();
      await this.#removeExpired();
    } finally {
      this.#writing = false;
    }
  }

  #createRow(beat: number): EntryRow {
    const { identity } = this.#options.context;
    return {
      incarnation: identity.incarnation,
      region: identity.region,
      ...this.#options.address,
      state: this.#leaving ? "leaving" : "live",
      beat,
    };
  }

  async #register(): Promise<void> {
    const { identity } = this.#options.context;
    const read = await this.#options.table.read(
      [getEntryKey(identity.entry), MEMBER_INDEX_KEY],
      { timeoutMs: STATE_CALL_TIMEOUT_MS },
    );
    if (read.kind === "unavailable") return;
    const outcome = await this.#change(
      createRegistration(identity.entry, this.#createRow(0), read.rows),
    );
    if (outcome.kind === "conflict") return await this.#register();
    if (outcome.kind === "unavailable") return;
    // The first read applies the new index, the second one reads the rows of the members it lists.
    await this.#options.rows.refresh();
    await this.#options.rows.refresh();
    this.#registeredVersion = this.membersVersion;
    this.#registered = true;
    this.#emit("membership.registered");
  }

  async #renew(): Promise<void> {
    const { entry } = this.#options.context.identity;
    const known = this.#observations.get(entry);
    if (known === undefined) return;
    const outcome = await this.#change(
      createRenewal(
        entry,
        this.#createRow(known.row.beat + 1),
        known.tableRow,
      ),
    );
    if (outcome.kind === "conflict") this.#observations.refreshAll();
    if (outcome.kind !== "committed") return;
    const written = outcome.rows.find((row) => row.key === getEntryKey(entry));
    if (written !== undefined) this.#observations.replace(entry, written);
  }

  /** Removes one expired, unconnected member. The conditions let one of several entries succeed. */
  async #removeExpired(): Promise<void> {
    if (!this.isRegistered()) return;
    const expiredMember = this.list().find((member) =>
      !member.connected && this.isExpired(member.entry)
    );
    if (
      expiredMember === undefined || !await this.#remove(expiredMember.entry)
    ) return;
    this.#options.context.events.emit("membership.removed", {
      entry: expiredMember.entry,
    });
  }

  async #remove(entry: EntryName): Promise<boolean> {
    const storedRow = this.#observations.get(entry)?.tableRow;
    const outcome = await this.#change(
      createRemoval(entry, storedRow, this.#observations.index),
    );
    if (outcome.kind === "conflict") this.#observations.refreshAll();
    if (!this.#stopped) await this.#options.rows.refresh();
    return outcome.kind === "committed";
  }

  #change(change: RowChange): Promise<TransactionOutcome> {
    return transactChange(
      this.#options.table,
      change,
      WRITE_PRIORITY.OWNERSHIP,
    );
  }

  #publish(): void {
    const members = this.list();
    const fingerprint = JSON.stringify(
      members.map(({ entry, row }) => [entry, row.incarnation, row.state]),
    );
    if (fingerprint === this.#publishedFingerprint) return;
    this.#publishedFingerprint = fingerprint;
    this.#changes.next(members);
  }
}
