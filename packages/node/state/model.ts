/**
 * A small model of entries, one table and one failure domain for the property-based test. The loops
 * are the model's own, but all decisions are made by the functions that the controllers call. Time
 * advances in steps; each entry's clock has its own rate.
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
import { getLinkName, ModelConnectivity } from "./model_connectivity.ts";
import { ModelEntry } from "./model_entry.ts";
import { toJsonValue } from "./rows_json.ts";

export const MODEL_DOMAIN = brandId<FailureDomainName>("domain");
export const MODEL_OWNER_KEY = getOwnerKey(MODEL_DOMAIN);
export const MODEL_DOMAIN_KEY = getDomainKey(MODEL_DOMAIN);
export const STEP_MS = 250;

/** The newest request to take the domain out of service that was answered as binding. */
interface AnsweredOut {
  readonly version: number;
  readonly answeredMs: number;
  /** Whether the entry must not start work later than `DOMAIN_OUT_BOUND_MS` after the answer. */
  binds(entry: ModelEntry): boolean;
}

/** Collects violations of the invariants while actions are applied to it. */
export class ModelCluster {
  readonly table = MemoryTable.create();
  readonly entries: ModelEntry[] = [];
  readonly violations: string[] = [];
  nowMs = 0;
  effectiveStarts = 0;
  takeovers = 0;
  /** Steps in which an entry acted although its last renewal was at least one lease ago. */
  outageSteps = 0;
  readonly #cutLinks = new Set<string>();
  readonly #connectivity = ModelConnectivity.create(this);
  #delayedWrites: {
    readonly atMs: number;
    readonly transaction: TableTransaction;
  }[] = [];
  #writes = 0;
  /** The highest epoch that the workers have received; lower ones are fenced. */
  #highestEpoch = 0;
  readonly #owners = new Map<number, EntryName>();
  #answeredOut: AnsweredOut | undefined;

  private constructor() {}

  static create(entries: number): ModelCluster {
    const cluster = new ModelCluster();
    for (let index = 0; index < entries; index++) cluster.join();
    cluster.run(STARTUP_STEPS);
    return cluster;
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
    return right.isRunning && !this.#cutLinks.has(getLinkName(left, right));
  }

  /** Entries other than `entry` that receive its messages. */
  listLinked(entry: ModelEntry): readonly ModelEntry[] {
    return this.entries.filter((other) =>
      other !== entry && this.isLinked(entry, other)
    );
  }

  /** Makes one write of an entry, subject to the faults that actions have injected there. */
  transact(
    entry: ModelEntry,
    key: string,
    value: object,
    conditions: readonly RowCondition[],
  ): TransactionOutcome {
    if (!entry.canReachTable()) {
      return { kind: "unavailable", effect: "refused", reason: "cut" };
    }
    const transaction: TableTransaction = {
      writeId: brandId<WriteId>(`${this.#writes++}`),
      conditions,
      writes: [{ kind: "put", key, value: toJsonValue(value) }],
    };
    if (entry.delayNextMs > 0) {
      const atMs = this.nowMs + entry.delayNextMs;
      this.#delayedWrites.push({ atMs, transaction });
      entry.delayNextMs = 0;
      return { kind: "unavailable", effect: "lost", reason: "late" };
    }
    const outcome = this.table.transactSync(transaction);
    if (entry.lostAnswers === 0) return outcome;
    entry.lostAnswers -= 1;
    return { kind: "unavailable", effect: "lost", reason: "lost" };
  }

  /** Records the owner of an epoch; a second owner of the same epoch is a violation. */
  recordTakeover(entry: ModelEntry, epoch: number): void {
    this.takeovers += 1;
    const owner = this.#owners.get(epoch);
    if (owner !== undefined && owner !== entry.entry) {
      this.violations.push(
        `epoch ${epoch} given to ${owner} and ${entry.entry}`,
      );
    }
    this.#owners.set(epoch, entry.entry);
  }

  /** Starts work on the workers, which ignore an epoch lower than the highest received one. */
  start(entry: ModelEntry, epoch: number): void {
    if (epoch < this.#highestEpoch) return;
    this.#highestEpoch = epoch;
    this.effectiveStarts += 1;
    const out = this.#answeredOut;
    if (out === undefined || !out.binds(entry)) return;
    const lateMs = this.nowMs - out.answeredMs;
    if (lateMs > DOMAIN_OUT_BOUND_MS) {
      this.violations.push(`work started ${lateMs} ms after out was answered`);
    }
  }

  /**
   * Records that a request to take the domain out of service was answered as binding: the record is
   * durable, or in force on every member. Only a durable record binds entries that join later and
   * contact no other entry.
   */
  recordOut(record: FailureDomainRecord, members: readonly EntryName[]): void {
    const { version, provisional } = record;
    if (
      this.#answeredOut !== undefined && this.#answeredOut.version >= version
    ) return;
    this.#answeredOut = {
      version,
      answeredMs: this.nowMs,
      binds: (entry) => !provisional || members.includes(entry.entry),
    };
  }

  /** Records that the domain is back in service; an older request to take it out binds no more. */
  recordIn(version: number): void {
    if (
      this.#answeredOut !== undefined && this.#answeredOut.version < version
    ) {
      this.#answeredOut = undefined;
    }
  }

  #step(): void {
    this.nowMs += STEP_MS;
    const due = this.#delayedWrites.filter(({ atMs }) => atMs <= this.nowMs);
    this.#delayedWrites = this.#delayedWrites.filter(({ atMs }) =>
      atMs > this.nowMs
    );
    for (const { transaction } of due) this.table.transactSync(transaction);
    for (const entry of this.entries) if (entry.isRunning) entry.run();
    this.#connectivity.update();
    this.#checkOwners();
  }

  /**
   * Leases alone, without fencing by the workers, must keep two owners from acting at once, except
   * in one case: an owner in a cluster-wide outage cannot detect a joiner that none of its
   * connected peers has contacted.
   */
  #checkOwners(): void {
    const acting = this.entries.filter((entry) =>
      entry.isRunning && entry.mayAct()
    );
    for (const left of acting) {
      for (const right of acting) {
        if (left === right || !this.#connectivity.canDetect(left, right)) {
          continue;
        }
        const names = `${left.entry} and ${right.entry}`;
        this.violations.push(`${names} may act at ${this.nowMs}`);
      }
    }
    if (acting.some((entry) => entry.isActingInOutage())) {
      this.outageSteps += 1;
    }
  }

  /** Restores or cuts the direct path of every entry to the table. */
  #setDirectPaths(areUp: boolean): void {
    for (const one of this.entries) one.hasDirectTablePath = areUp;
  }

  #isolate(entry: ModelEntry): void {
    for (const one of this.entries) this.#cutLinks.add(getLinkName(entry, one));
  }

  #joinInOutage(entry: ModelEntry): void {
    this.#setDirectPaths(false);
    this.join();
    const joiner = this.entries.at(-1);
    if (joiner !== undefined) this.#cutLinks.add(getLinkName(entry, joiner));
  }

  #takeoverThenOutage(entry: ModelEntry): void {
    this.#isolate(entry);
    entry.hasDirectTablePath = false;
    this.run(LONGER_THAN_LEASE_STEPS);
    this.#setDirectPaths(false);
    this.#cutLinks.clear();
  }

  #perform(action: ModelAction, entry: ModelEntry, other: ModelEntry): void {
    switch (action.kind) {
      case "wait":
        return;
      case "pause":
        return entry.pause();
      case "thaw":
        return entry.resume();
      case "kill":
        return entry.kill();
      case "join":
        return this.join();
      case "cut_store":
        return void (entry.hasDirectTablePath = false);
      case "mend_store":
        return void (entry.hasDirectTablePath = true);
      case "cut_all_stores":
        return this.#setDirectPaths(false);
      case "mend_all_stores":
        return this.#setDirectPaths(true);
      case "cut_link":
        return void this.#cutLinks.add(getLinkName(entry, other));
      case "mend_link":
        return void this.#cutLinks.delete(getLinkName(entry, other));
      case "isolate":
        return this.#isolate(entry);
      case "mend_all_links":
        return this.#cutLinks.clear();
      case "join_in_outage":
        return this.#joinInOutage(entry);
      case "takeover_then_outage":
        return this.#takeoverThenOutage(entry);
      case "stale_head":
        return entry.readStaleHead();
      case "lose_answer":
        return void (entry.lostAnswers += 1);
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

const STARTUP_STEPS = 16;
const LONGER_THAN_LEASE_STEPS = 32;
const MAXIMUM_ENTRIES = 4;
const CLOCK_DRIFT = 0.01;
