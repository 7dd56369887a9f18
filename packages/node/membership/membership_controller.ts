/**
 * Registers this entry and knows the others. The rows are the authority on who is registered;
 * contact over the mesh says who is there now.
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
  createBeat,
  createRegistration,
  createRemoval,
} from "./member_rows.ts";

/** Where this entry is reached. */
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
  /** Another process registered under this entry's name; this one acts no more. */
  #displaced = false;
  #hasMet = false;
  /** Version of the members' row that first named this incarnation. */
  #registeredVersion = Number.POSITIVE_INFINITY;
  #leaving = false;
  #stopped = false;
  #writing = false;
  #timer: Timer | undefined;
  #published = "";

  private constructor(options: MembershipControllerOptions) {
    this.#options = options;
  }

  static create(options: MembershipControllerOptions): MembershipController {
    const controller = new MembershipController(options);
    options.rows.add({
      listKeys: () => controller.#listKeys(),
      applySnapshot: (snapshot) => controller.#learn(snapshot),
    });
    return controller;
  }

  get changes(): Observable<readonly Member[]> {
    return this.#changes;
  }

  /** Whether this incarnation's row stands; an entry owns nothing before. */
  isRegistered(): boolean {
    return this.#registered && !this.#displaced;
  }

  isLeaving(): boolean {
    return this.#leaving;
  }

  /**
   * The joiner rule: registered, and every other registered member is in contact or was watched
   * through a full term without a beat. It is enough to be in contact with one member that has met
   * all, reaches the table and has read of this entry: no holder's world is closed without it. Once
   * met, it stays met while this entry is registered.
   */
  hasContactedEveryMember(): boolean {
    if (!this.isRegistered()) return this.#hasMet = false;
    if (this.#hasMet || !this.#observations.isComplete()) return this.#hasMet;
    return this.#hasMet = this.#isVouchedFor() ||
      this.list().every((member) =>
        member.connected || this.isExpired(member.entry)
      );
  }

  #isVouchedFor(): boolean {
    return this.#options.peers.listRecent().some((fact) =>
      fact.settled && fact.tableReachable &&
      fact.membersVersion >= this.#registeredVersion
    );
  }

  get membersVersion(): number {
    return this.#observations.index?.version ?? 0;
  }

  /** Whether the member's row was watched through a full term without a beat. */
  isExpired(entry: EntryName): boolean {
    return this.#observations.isLapsed(entry);
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

  /** Resolves after the first attempt to register; it is tried again with every beat. */
  async start(): Promise<void> {
    this.#timer = this.#options.context.clock.every(
      ENTRY_RENEWAL_PERIOD_MS,
      () => void this.#tend(),
    );
    await this.#tend();
  }

  /** Tells the others that this entry is leaving: it is given no new ownership. */
  async leave(): Promise<void> {
    if (this.#leaving) return;
    this.#leaving = true;
    this.#emit("membership.leaving");
    await this.#tend();
  }

  /** Removes the row: the entry is gone. */
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

  #learn(snapshot: RowSnapshot): void {
    this.#observations.learn(snapshot);
    this.#options.peers.resetSeenEntries();
    const { identity } = this.#options.context;
    const own = this.#observations.get(identity.entry)?.row;
    if (this.#registered && own === undefined) this.#registered = false;
    const taken = own !== undefined && own.incarnation !== identity.incarnation;
    if (this.isRegistered() && taken) {
      this.#displaced = true;
      this.#emit("membership.displaced", own.incarnation);
    }
    this.#publish();
  }

  async #tend(): Promise<void> {
    if (this.#writing || this.#displaced || this.#stopped) return;
    this.#writing = true;
    try {
      if (this.#registered) await this.#beat();
      else await this.#register();
      await this.#removeLapsed();
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
    await this.#options.rows.refresh();
    await this.#options.rows.refresh();
    this.#registeredVersion = this.membersVersion;
    this.#registered = true;
    this.#emit("membership.registered");
  }

  async #beat(): Promise<void> {
    const { entry } = this.#options.context.identity;
    const known = this.#observations.get(entry);
    if (known === undefined) return;
    const outcome = await this.#change(
      createBeat(entry, this.#createRow(known.row.beat + 1), known.tableRow),
    );
    if (outcome.kind === "conflict") this.#observations.refreshAll();
    if (outcome.kind !== "committed") return;
    const written = outcome.rows.find((row) => row.key === getEntryKey(entry));
    if (written !== undefined) this.#observations.replace(entry, written);
  }

  /** A member that lapsed and is not in contact. The conditions settle races. */
  async #removeLapsed(): Promise<void> {
    if (!this.isRegistered()) return;
    const gone = this.list().find((member) =>
      !member.connected && this.isExpired(member.entry)
    );
    if (gone === undefined || !await this.#remove(gone.entry)) return;
    this.#options.context.events.emit("membership.removed", {
      entry: gone.entry,
    });
  }

  async #remove(entry: EntryName): Promise<boolean> {
    const present = this.#observations.get(entry)?.tableRow;
    const outcome = await this.#change(
      createRemoval(entry, present, this.#observations.index),
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
    const picture = JSON.stringify(
      members.map(({ entry, row }) => [entry, row.incarnation, row.state]),
    );
    if (picture === this.#published) return;
    this.#published = picture;
    this.#changes.next(members);
  }
}
