/** One entry of the model: the loops of the controllers around their decision functions. */
import type { EntryName, Incarnation } from "@coltsfootpond/common";
import type { TableRow, TransactionOutcome } from "@coltsfootpond/platform";
import {
  type ConfigurationKnowledge,
  decideHead,
} from "../configuration/decisions.ts";
import {
  ENTRY_BEAT_MS,
  ENTRY_TERM_MS,
  MESH_HEARTBEAT_MS,
  MESH_SILENCE_MS,
  OWNERSHIP_BEAT_MS,
  OWNERSHIP_TERM_MS,
  PAUSE_BOUND_MS,
  STATE_POLL_MS,
} from "../constants.ts";
import {
  decideDurableRow,
  decideOut,
  type FailureDomainFact,
  mergeFacts,
  UNCHANGED_FACT,
} from "../failure_domains/decisions.ts";
import type { HeldDomain } from "../mesh/messages.ts";
import {
  adoptLease,
  decideOwnership,
  extendLease,
  grantLease,
  type HeldLease,
  mayActUnder,
  renewLease,
} from "../ownership/decisions.ts";
import {
  CONFIGURATION_HEAD_KEY,
  type ConfigurationHeadRow,
  type FailureDomainRow,
  getEntryKey,
  type OwnerRow,
} from "../rows.ts";
import { type BeatObservation, getStillMs, observeBeat } from "./beat.ts";
import {
  isUncontested,
  isWorldClosed,
  type WorldMember,
} from "./closed_world.ts";
import {
  MODEL_DOMAIN,
  MODEL_DOMAIN_KEY,
  MODEL_OWNER_KEY,
  type ModelWorld,
  STEP_MS,
} from "./model.ts";
import { createUnchangedCondition, readValue } from "./rows_json.ts";

export interface ModelEntryOptions {
  readonly entry: EntryName;
  readonly incarnation: Incarnation;
  /** Own milliseconds per millisecond. */
  readonly rate: number;
}

interface Heard {
  readonly atMs: number;
  readonly tableReachable: boolean;
  readonly holdings: readonly HeldDomain[];
}

export class ModelEntry {
  readonly entry: EntryName;
  readonly #options: ModelEntryOptions;
  readonly #world: ModelWorld;
  isStoreUp = true;
  loseNext = 0;
  delayNextMs = 0;
  #isAlive = true;
  #pausedMs: number | undefined;
  #lastRunMs = 0;
  #pollDueMs = 0;
  #beatDueMs = 0;
  #entryBeatDueMs = 0;
  #heartbeatDueMs = 0;
  #isReadable = false;
  #isRegistered = false;
  #hasMet = false;
  #unsettledMs: number | undefined;
  #members: readonly EntryName[] = [];
  readonly #memberBeats = new Map<EntryName, BeatObservation>();
  readonly #heard = new Map<EntryName, Heard>();
  #ownerRow: TableRow | undefined;
  #ownerBeat: BeatObservation | undefined;
  #lease: HeldLease | undefined;
  #leaseRow: TableRow | undefined;
  #writtenMs = Number.NEGATIVE_INFINITY;
  #fact: FailureDomainFact | undefined;
  #domainRow: TableRow | undefined;
  #configuration: ConfigurationKnowledge = {
    version: 0,
    digest: "",
    confirmedMs: 0,
  };
  #headRow: TableRow | undefined;

  private constructor(world: ModelWorld, options: ModelEntryOptions) {
    this.#world = world;
    this.#options = options;
    this.entry = options.entry;
  }

  static create(world: ModelWorld, options: ModelEntryOptions): ModelEntry {
    const entry = new ModelEntry(world, options);
    entry.#lastRunMs = entry.#nowMs();
    return entry;
  }

  get isRunning(): boolean {
    return this.#isAlive && this.#pausedMs === undefined;
  }

  pause(): void {
    this.#pausedMs ??= this.#world.nowMs;
  }

  thaw(): void {
    this.#pausedMs = undefined;
  }

  kill(): void {
    this.#isAlive = false;
  }

  mayAct(): boolean {
    return this.#lease !== undefined && mayActUnder(this.#lease, this.#nowMs());
  }

  isActingInClosedWorld(): boolean {
    return this.mayAct() &&
      this.#nowMs() - this.#writtenMs >= OWNERSHIP_TERM_MS;
  }

  knows(other: ModelEntry): boolean {
    return this.#members.includes(other.entry) ||
      this.#getHeard(other.entry) !==
        undefined;
  }

  /** Directly, or through a peer that said it reaches the table. */
  hasAccess(): boolean {
    if (this.isStoreUp) return true;
    return this.#world.listLinked(this).some((peer) =>
      peer.isStoreUp && this.#getHeard(peer.entry)?.tableReachable === true
    );
  }

  run(): void {
    const nowMs = this.#nowMs();
    const lateMs = nowMs - this.#lastRunMs - STEP_MS * this.#options.rate;
    this.#lastRunMs = nowMs;
    if (lateMs > PAUSE_BOUND_MS) {
      this.#heard.clear();
      this.#restartTerm();
    }
    if (nowMs >= this.#pollDueMs) this.#poll(nowMs);
    this.#extend(nowMs);
    if (nowMs >= this.#beatDueMs) this.#renew(nowMs);
    if (nowMs >= this.#entryBeatDueMs) this.#beatEntry(nowMs);
    if (nowMs >= this.#heartbeatDueMs) this.#sendHeartbeat(nowMs);
    if (this.mayAct() && this.#fact?.state === "in" && this.#lease) {
      this.#world.start(this, this.#lease.epoch);
    }
  }

  hear(from: EntryName, message: Omit<Heard, "atMs">): void {
    this.#heard.set(from, { ...message, atMs: this.#nowMs() });
  }

  hearFact(fact: FailureDomainFact): FailureDomainFact {
    return this.#merge(fact);
  }

  takeOut(): void {
    if (!this.isRunning) return;
    this.#merge(decideOut(this.#fact ?? UNCHANGED_FACT));
    const acknowledged = this.#announce();
    this.#makeDurable();
    const fact = this.#fact;
    if (fact === undefined || fact.state === "in") return;
    const isInForce = this.#members.every((member) =>
      member === this.entry ||
      acknowledged.some(({ entry }) => entry === member)
    );
    if (!fact.provisional || isInForce) this.#world.noteOut(fact);
  }

  takeIn(): void {
    if (!this.isRunning || !this.hasAccess()) return;
    this.#learnDomain(this.#world.table.getRow(MODEL_DOMAIN_KEY));
    const known = this.#fact ?? UNCHANGED_FACT;
    if (known.state === "in") return;
    const row: FailureDomainRow = { state: "in", version: known.version + 1 };
    const outcome = this.#writeDomain(row);
    if (outcome.kind !== "conflict") this.#world.noteIn(row.version);
    if (outcome.kind === "committed") this.#announce();
  }

  applyConfiguration(): void {
    if (!this.isRunning) return;
    const version = this.#configuration.version + 1;
    const head: ConfigurationHeadRow = {
      version,
      digest: `${version} by ${this.entry}` as ConfigurationHeadRow["digest"],
      acceptedBy: this.entry,
    };
    this.#world.transact(this, CONFIGURATION_HEAD_KEY, head, [
      createUnchangedCondition(CONFIGURATION_HEAD_KEY, this.#headRow),
    ]);
  }

  #nowMs(): number {
    return this.#world.nowMs * this.#options.rate;
  }

  #getHeard(entry: EntryName): Heard | undefined {
    const heard = this.#heard.get(entry);
    const isRecent = heard !== undefined &&
      this.#nowMs() - heard.atMs < MESH_SILENCE_MS;
    return isRecent ? heard : undefined;
  }

  #restartTerm(): void {
    this.#ownerBeat = undefined;
  }

  #poll(nowMs: number): void {
    this.#pollDueMs = nowMs + STATE_POLL_MS;
    if (!this.hasAccess()) {
      this.#isReadable = false;
      return this.#restartTerm();
    }
    this.#isReadable = true;
    const { table } = this.#world;
    if (this.#unsettledMs !== undefined && this.#unsettledMs <= nowMs) {
      this.#unsettledMs = undefined;
    }
    this.#learnMembers(nowMs);
    this.#learnDomain(table.getRow(MODEL_DOMAIN_KEY));
    this.#learnHead(table.getRow(CONFIGURATION_HEAD_KEY), nowMs);
    if (this.#fact?.provisional) this.#makeDurable();
    this.#learnOwner(table.getRow(MODEL_OWNER_KEY), nowMs);
  }

  #learnMembers(nowMs: number): void {
    this.#members = this.#world.entries
      .map((one) => one.entry)
      .filter((entry) => this.#world.table.getRow(getEntryKey(entry)));
    for (const entry of this.#members) {
      const version = this.#world.table.getRow(getEntryKey(entry))?.version ??
        0;
      const previous = this.#memberBeats.get(entry);
      this.#memberBeats.set(entry, observeBeat(previous, version, nowMs));
    }
    this.#hasMet ||= this.#isRegistered && this.#members.every((entry) => {
      const beat = this.#memberBeats.get(entry);
      const isLapsed = beat !== undefined && getStillMs(beat) >= ENTRY_TERM_MS;
      return entry === this.entry || isLapsed ||
        this.#getHeard(entry) !== undefined;
    });
  }

  #learnHead(tableRow: TableRow | undefined, nowMs: number): void {
    const head = tableRow && readValue<ConfigurationHeadRow>(tableRow);
    const known = this.#configuration;
    const decision = decideHead(known, head);
    if (decision.kind === "reject") {
      this.#world.violations.push(`${this.entry}: the head reverts`);
    }
    this.#headRow = tableRow;
    if (decision.kind !== "advance") return;
    const { version, digest } = decision.head;
    this.#configuration = { version, digest, confirmedMs: nowMs };
  }

  #learnOwner(tableRow: TableRow | undefined, nowMs: number): void {
    this.#ownerRow = tableRow;
    const version = tableRow?.version ?? 0;
    this.#ownerBeat = observeBeat(this.#ownerBeat, version, nowMs);
    this.#learnLeaseRow(tableRow);
    if (this.#lease !== undefined || this.#unsettledMs !== undefined) return;
    const row = tableRow && readValue<OwnerRow>(tableRow);
    const decision = decideOwnership({
      self: this.#options,
      row,
      beat: this.#ownerBeat,
      rank: this.#members.indexOf(this.entry),
      hasMetEveryMember: this.#hasMet,
      leaving: false,
    });
    if (decision.kind === "take") this.#take(decision.epoch, nowMs);
    if (decision.kind === "renew" && row !== undefined) {
      this.#gain(adoptLease(row.epoch, nowMs), tableRow);
    }
  }

  #learnLeaseRow(tableRow: TableRow | undefined): void {
    if (this.#lease === undefined) return;
    const row = tableRow && readValue<OwnerRow>(tableRow);
    const isOwn = row?.incarnation === this.#options.incarnation &&
      row.epoch === this.#lease.epoch;
    if (isOwn) this.#leaseRow = tableRow;
    else this.#lease = undefined;
  }

  #take(epoch: number, nowMs: number): void {
    const { entry, incarnation } = this.#options;
    const row: OwnerRow = {
      entry,
      incarnation,
      epoch,
      beat: 0,
      released: false,
    };
    const outcome = this.#world.transact(this, MODEL_OWNER_KEY, row, [
      createUnchangedCondition(MODEL_OWNER_KEY, this.#ownerRow),
      createUnchangedCondition(MODEL_DOMAIN_KEY, this.#domainRow),
    ]);
    if (outcome.kind === "committed") {
      this.#writtenMs = nowMs;
      this.#gain(grantLease(epoch, nowMs), outcome.rows[0]);
    }
    if (outcome.kind === "unavailable" && outcome.effect === "lost") {
      this.#unsettledMs = nowMs;
    }
  }

  #gain(lease: HeldLease, tableRow: TableRow | undefined): void {
    this.#lease = lease;
    this.#leaseRow = tableRow;
    this.#world.noteTakeover(this, lease.epoch);
  }

  #renew(nowMs: number): void {
    this.#beatDueMs = nowMs + OWNERSHIP_BEAT_MS;
    if (this.#lease === undefined || this.#leaseRow === undefined) return;
    const row = readValue<OwnerRow>(this.#leaseRow);
    const outcome = this.#world.transact(this, MODEL_OWNER_KEY, {
      ...row,
      beat: row.beat + 1,
    }, [
      createUnchangedCondition(MODEL_OWNER_KEY, this.#leaseRow),
      createUnchangedCondition(MODEL_DOMAIN_KEY, this.#domainRow),
    ]);
    if (outcome.kind === "unavailable") return;
    const find = (key: string) => outcome.rows.find((one) => one.key === key);
    this.#learnLeaseRow(find(MODEL_OWNER_KEY));
    if (outcome.kind === "conflict") {
      return this.#learnDomain(find(MODEL_DOMAIN_KEY));
    }
    if (this.#lease === undefined) return;
    this.#writtenMs = nowMs;
    this.#lease = renewLease(this.#lease, nowMs);
  }

  #extend(nowMs: number): void {
    if (this.#isReadable || this.#lease === undefined) return;
    const entries = new Set([...this.#members, ...this.#heard.keys()]);
    entries.delete(this.entry);
    const members: WorldMember[] = [...entries].map((entry) => {
      const heard = this.#getHeard(entry);
      return { entry, heard: heard && { ...heard, configurationVersion: 0 } };
    }).filter(({ entry, heard }) => heard || this.#members.includes(entry));
    if (!isWorldClosed(members)) return;
    if (!isUncontested(members, MODEL_DOMAIN, this.#lease.epoch)) return;
    this.#lease = extendLease(this.#lease, nowMs);
  }

  #beatEntry(nowMs: number): void {
    this.#entryBeatDueMs = nowMs + ENTRY_BEAT_MS;
    const key = getEntryKey(this.entry);
    const outcome = this.#world.transact(this, key, { nowMs }, []);
    if (outcome.kind === "committed") this.#isRegistered = true;
  }

  #sendHeartbeat(nowMs: number): void {
    this.#heartbeatDueMs = nowMs + MESH_HEARTBEAT_MS;
    const epoch = this.#lease?.epoch;
    const held = { failureDomain: MODEL_DOMAIN, epoch: epoch ?? 0 };
    const tableReachable = this.#isReadable || this.#unsettledMs !== undefined;
    const holdings = epoch === undefined ? [] : [held];
    for (const peer of this.#world.listLinked(this)) {
      peer.hear(this.entry, { tableReachable, holdings });
    }
    if (this.#fact?.provisional) this.#announce();
  }

  /** The entries that now hold the fact to be so. */
  #announce(): readonly ModelEntry[] {
    const fact = this.#fact;
    if (fact === undefined) return [];
    return this.#world.listLinked(this).filter((peer) => {
      const present = peer.hearFact(fact);
      if (present.version > fact.version) this.#merge(present);
      return present.state === fact.state && present.version === fact.version;
    });
  }

  #merge(incoming: FailureDomainFact): FailureDomainFact {
    return this.#fact = this.#fact === undefined
      ? incoming
      : mergeFacts(this.#fact, incoming);
  }

  #learnDomain(tableRow: TableRow | undefined): void {
    if ((tableRow?.version ?? 0) < (this.#domainRow?.version ?? 0)) return;
    this.#domainRow = tableRow;
    this.#merge(
      tableRow
        ? { ...readValue<FailureDomainRow>(tableRow), provisional: false }
        : UNCHANGED_FACT,
    );
  }

  #makeDurable(): void {
    for (let conflicts = 0; conflicts < 3; conflicts++) {
      const present = this.#domainRow &&
        readValue<FailureDomainRow>(this.#domainRow);
      const row = decideDurableRow(this.#fact ?? UNCHANGED_FACT, present);
      if (row === undefined) return;
      if (this.#writeDomain(row).kind !== "conflict") return;
    }
  }

  #writeDomain(row: FailureDomainRow): TransactionOutcome {
    const outcome = this.#world.transact(this, MODEL_DOMAIN_KEY, row, [
      createUnchangedCondition(MODEL_DOMAIN_KEY, this.#domainRow),
    ]);
    if (outcome.kind !== "unavailable") this.#learnDomain(outcome.rows[0]);
    return outcome;
  }
}
