/**
 * A small model of entries, one table and one failure domain, for the property-based test. The
 * loops around them are the model's; every decision is made by the functions that the controllers
 * use. Time runs in steps; each entry's clock has its own rate.
 */
import {
  brandId,
  type EntryName,
  type FailureDomainName,
  type Incarnation,
  type WriteId,
} from "@coltsfootpond/common";
import {
  MemoryTable,
  type RowCondition,
  type TableTransaction,
  type TransactionOutcome,
} from "@coltsfootpond/ports";
import { DOMAIN_OUT_BOUND_MS } from "../constants.ts";
import type { FailureDomainRecord } from "../failure_domains/decisions.ts";
import { getDomainKey, getOwnerKey } from "../rows.ts";
import type { ModelAction } from "./model_action.ts";
import { ModelConnectivity, nameLink } from "./model_connectivity.ts";
import { ModelEntry } from "./model_entry.ts";
import { toJsonValue } from "./rows_json.ts";

export const MODEL_DOMAIN = brandId<FailureDomainName>("domain");
export const MODEL_OWNER_KEY = getOwnerKey(MODEL_DOMAIN);
export const MODEL_DOMAIN_KEY = getDomainKey(MODEL_DOMAIN);
export const STEP_MS = 250;

interface AnsweredOut {
  readonly version: number;
  readonly answeredMs: number;
  binds(entry: ModelEntry): boolean;
}

export class ModelCluster {
  readonly table = MemoryTable.create();
  readonly entries: ModelEntry[] = [];
  readonly violations: string[] = [];
  nowMs = 0;
  effectiveStarts = 0;
  takeovers = 0;
  /** Steps in which an entry acted although it had not written its beat for a whole term. */
  closedWorldSteps = 0;
  readonly #cuts = new Set<string>();
  readonly #contacts = ModelConnectivity.create(this);
  #late: { readonly atMs: number; readonly transaction: TableTransaction }[] =
    [];
  #writes = 0;
  /** The epoch that the workers last obeyed. */
  #fence = 0;
  readonly #holders = new Map<number, EntryName>();
  #out: AnsweredOut | undefined;

  private constructor() {}

  static create(entries: number): ModelCluster {
    const world = new ModelCluster();
    for (let index = 0; index < entries; index++) world.join();
    world.run(SETTLE_STEPS);
    return world;
  }

  apply(action: ModelAction): void {
    const { entries } = this;
    const entry = entries[action.entry % entries.length];
    const other = entries[action.other % entries.length];
    if (entry === undefined || other === undefined) return;
    this.#perform(action, entry, other);
    this.run(action.steps);
  }

  run(steps: number): void {
    for (let step = 0; step < steps; step++) this.#step();
  }

  join(): void {
    if (this.entries.length >= MAXIMUM_ENTRIES) return;
    const index = this.entries.length;
    const entry = brandId<EntryName>(`e${index}`);
    const incarnation = brandId<Incarnation>(`${index}`);
    const rate = 1 + ((index % 3) - 1) * CLOCK_DRIFT;
    this.entries.push(ModelEntry.create(this, { entry, incarnation, rate }));
  }

  isLinked(left: ModelEntry, right: ModelEntry): boolean {
    return right.isRunning && !this.#cuts.has(nameLink(left, right));
  }

  /** Entries other than `entry` that its messages reach. */
  listLinked(entry: ModelEntry): readonly ModelEntry[] {
    return this.entries.filter((other) =>
      other !== entry && this.isLinked(entry, other)
    );
  }

  /** One write of an entry, under the faults that the actions have set on it. */
  transact(
    entry: ModelEntry,
    key: string,
    value: object,
    conditions: readonly RowCondition[],
  ): TransactionOutcome {
    if (!entry.hasAccess()) {
      return { kind: "unavailable", effect: "refused", reason: "cut" };
    }
    const transaction: TableTransaction = {
      writeId: brandId<WriteId>(`${this.#writes++}`),
      conditions,
      writes: [{ kind: "put", key, value: toJsonValue(value) }],
    };
    if (entry.delayNextMs > 0) {
      const atMs = this.nowMs + entry.delayNextMs;
      this.#late.push({ atMs, transaction });
      entry.delayNextMs = 0;
      return { kind: "unavailable", effect: "lost", reason: "late" };
    }
    const outcome = this.table.transactSync(transaction);
    if (entry.loseNext === 0) return outcome;
    entry.loseNext -= 1;
    return { kind: "unavailable", effect: "lost", reason: "lost" };
  }

  noteTakeover(entry: ModelEntry, epoch: number): void {
    this.takeovers += 1;
    const holder = this.#holders.get(epoch);
    if (holder !== undefined && holder !== entry.entry) {
      this.violations.push(
        `epoch ${epoch} given to ${holder} and ${entry.entry}`,
      );
    }
    this.#holders.set(epoch, entry.entry);
  }

  /** The workers obey no epoch lower than the highest that they have seen. */
  start(entry: ModelEntry, epoch: number): void {
    if (epoch < this.#fence) return;
    this.#fence = epoch;
    this.effectiveStarts += 1;
    const out = this.#out;
    if (out === undefined || !out.binds(entry)) return;
    const lateMs = this.nowMs - out.answeredMs;
    if (lateMs > DOMAIN_OUT_BOUND_MS) {
      this.violations.push(`a start ${lateMs} ms after out was answered`);
    }
  }

  /**
   * An out was answered as binding: durable, or in force on every registered entry. Only the
   * durable one binds entries that join later and meet nobody.
   */
  noteOut(fact: FailureDomainRecord, members: readonly EntryName[]): void {
    const { version, provisional } = fact;
    if (this.#out !== undefined && this.#out.version >= version) return;
    this.#out = {
      version,
      answeredMs: this.nowMs,
      binds: (entry) => !provisional || members.includes(entry.entry),
    };
  }

  noteIn(version: number): void {
    if (this.#out !== undefined && this.#out.version < version) {
      this.#out = undefined;
    }
  }

  #step(): void {
    this.nowMs += STEP_MS;
    const due = this.#late.filter(({ atMs }) => atMs <= this.nowMs);
    this.#late = this.#late.filter(({ atMs }) => atMs > this.nowMs);
    for (const { transaction } of due) this.table.transactSync(transaction);
    for (const entry of this.entries) if (entry.isRunning) entry.run();
    this.#contacts.note();
    this.#checkHolders();
  }

  /**
   * Leases alone, without the workers' fence, must keep holders apart, but for one case: a holder
   * in a closed world cannot know of a joiner that nobody in contact has met.
   */
  #checkHolders(): void {
    const acting = this.entries.filter((entry) =>
      entry.isRunning && entry.mayAct()
    );
    for (const left of acting) {
      for (const right of acting) {
        if (left === right || !this.#contacts.canKnow(left, right)) continue;
        const names = `${left.entry} and ${right.entry}`;
        this.violations.push(`${names} may act at ${this.nowMs}`);
      }
    }
    if (acting.some((entry) => entry.isActingInClosedWorld())) {
      this.closedWorldSteps += 1;
    }
  }

  #setStores(isUp: boolean): void {
    for (const one of this.entries) one.isStoreUp = isUp;
  }

  #isolate(entry: ModelEntry): void {
    for (const one of this.entries) this.#cuts.add(nameLink(entry, one));
  }

  #joinInOutage(entry: ModelEntry): void {
    this.#setStores(false);
    this.join();
    const joiner = this.entries.at(-1);
    if (joiner !== undefined) this.#cuts.add(nameLink(entry, joiner));
  }

  #takeoverThenOutage(entry: ModelEntry): void {
    this.#isolate(entry);
    entry.isStoreUp = false;
    this.run(OUTLAST_TERM_STEPS);
    this.#setStores(false);
    this.#cuts.clear();
  }

  #perform(action: ModelAction, entry: ModelEntry, other: ModelEntry): void {
    switch (action.kind) {
      case "wait":
        return;
      case "pause":
        return entry.pause();
      case "thaw":
        return entry.thaw();
      case "kill":
        return entry.kill();
      case "join":
        return this.join();
      case "cut_store":
        return void (entry.isStoreUp = false);
      case "mend_store":
        return void (entry.isStoreUp = true);
      case "cut_all_stores":
        return this.#setStores(false);
      case "mend_all_stores":
        return this.#setStores(true);
      case "cut_link":
        return void this.#cuts.add(nameLink(entry, other));
      case "mend_link":
        return void this.#cuts.delete(nameLink(entry, other));
      case "isolate":
        return this.#isolate(entry);
      case "mend_all_links":
        return this.#cuts.clear();
      case "join_in_outage":
        return this.#joinInOutage(entry);
      case "takeover_then_outage":
        return this.#takeoverThenOutage(entry);
      case "stale_head":
        return entry.readStaleHead();
      case "lose_answer":
        return void (entry.loseNext += 1);
      case "delay_write":
        return void (entry.delayNextMs = action.other * STEP_MS);
      case "out":
        return entry.takeOut();
      case "in":
        return entry.takeIn();
      case "apply":
        return entry.applyConfiguration();
    }
  }
}

const SETTLE_STEPS = 16;
const OUTLAST_TERM_STEPS = 32;
const MAXIMUM_ENTRIES = 4;
const CLOCK_DRIFT = 0.01;
