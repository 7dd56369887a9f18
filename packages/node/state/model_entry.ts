/** One entry of the model: the loops of the controllers around their decision functions. */
import type { EntryName, Incarnation } from "@coltsfootpond/common";
import type { TableRow } from "@coltsfootpond/ports";
import {
  MESH_HEARTBEAT_PERIOD_MS,
  OWNERSHIP_LEASE_MS,
  OWNERSHIP_RENEWAL_PERIOD_MS,
  PAUSE_THRESHOLD_MS,
  STATE_POLL_PERIOD_MS,
} from "../constants.ts";
import {
  decideOwnership,
  extendLease,
  grantLease,
  isLeaseActive,
  type OwnershipLease,
  recoverLease,
  renewLease,
} from "../ownership/decisions.ts";
import { CONFIGURATION_HEAD_KEY, type OwnerRow } from "../rows.ts";
import { observeRowVersion, type RowObservation } from "./row_observation.ts";
import { isOutageClusterWide, isUncontested } from "./cluster_wide_outage.ts";
import {
  MODEL_DOMAIN,
  MODEL_DOMAIN_KEY,
  MODEL_OWNER_KEY,
  type ModelCluster,
  STEP_MS,
} from "./model.ts";
import { ModelConfiguration } from "./model_configuration.ts";
import { ModelFailureDomain } from "./model_failure_domain.ts";
import { ModelMembers } from "./model_members.ts";
import { createUnchangedCondition, readValue } from "./rows_json.ts";

export interface ModelEntryOptions {
  readonly entry: EntryName;
  readonly incarnation: Incarnation;
  /** Own milliseconds per millisecond. */
  readonly rate: number;
}

export class ModelEntry {
  readonly entry: EntryName;
  readonly failureDomain: ModelFailureDomain;
  readonly #members: ModelMembers;
  readonly #configuration: ModelConfiguration;
  readonly #options: ModelEntryOptions;
  readonly #world: ModelCluster;
  isStoreUp = true;
  loseNext = 0;
  delayNextMs = 0;
  #isAlive = true;
  #pausedMs: number | undefined;
  #lastRunMs = 0;
  #pollDueMs = 0;
  #beatDueMs = 0;
  #heartbeatDueMs = 0;
  #isReadable = false;
  #unsettledMs: number | undefined;
  #ownerRow: TableRow | undefined;
  #ownerBeat: RowObservation | undefined;
  #lease: OwnershipLease | undefined;
  #leaseRow: TableRow | undefined;
  #writtenMs = Number.NEGATIVE_INFINITY;

  private constructor(world: ModelCluster, options: ModelEntryOptions) {
    this.#world = world;
    this.#options = options;
    this.entry = options.entry;
    this.failureDomain = ModelFailureDomain.create(world, this);
    this.#members = ModelMembers.create(world, this);
    this.#configuration = ModelConfiguration.create(world, this);
  }

  static create(world: ModelCluster, options: ModelEntryOptions): ModelEntry {
    const entry = new ModelEntry(world, options);
    entry.#lastRunMs = entry.nowMs();
    return entry;
  }

  get members(): readonly EntryName[] {
    return this.#members.entries;
  }

  isMembershipNewest(): boolean {
    return this.#members.isNewest();
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
    return this.#lease !== undefined &&
      isLeaseActive(this.#lease, this.nowMs());
  }

  isActingInClosedWorld(): boolean {
    return this.mayAct() &&
      this.nowMs() - this.#writtenMs >= OWNERSHIP_LEASE_MS;
  }

  /** Directly, or through a peer that said it reaches the table. */
  hasAccess(): boolean {
    if (this.isStoreUp) return true;
    return this.#world.listLinked(this).some((peer) =>
      peer.isStoreUp &&
      this.#members.getHeard(peer.entry)?.tableReachable === true
    );
  }

  run(): void {
    const nowMs = this.nowMs();
    const lateMs = nowMs - this.#lastRunMs - STEP_MS * this.#options.rate;
    this.#lastRunMs = nowMs;
    if (lateMs > PAUSE_THRESHOLD_MS) {
      this.#members.forgetHeard();
      this.#restartTerm();
    }
    if (nowMs >= this.#pollDueMs) this.#poll(nowMs);
    this.#extend(nowMs);
    if (nowMs >= this.#beatDueMs) this.#renew(nowMs);
    this.#members.beat(nowMs);
    if (nowMs >= this.#heartbeatDueMs) this.#sendHeartbeat(nowMs);
    if (
      this.mayAct() && this.failureDomain.fact?.state === "in" && this.#lease
    ) {
      this.#world.start(this, this.#lease.epoch);
    }
  }

  takeOut(): void {
    if (this.isRunning) this.failureDomain.takeOut();
  }

  takeIn(): void {
    if (this.isRunning) this.failureDomain.takeIn();
  }

  applyConfiguration(): void {
    if (this.isRunning) this.#configuration.apply();
  }

  readStaleHead(): void {
    if (this.isRunning) this.#configuration.learnStale();
  }

  nowMs(): number {
    return this.#world.nowMs * this.#options.rate;
  }

  #restartTerm(): void {
    this.#ownerBeat = undefined;
  }

  #poll(nowMs: number): void {
    this.#pollDueMs = nowMs + STATE_POLL_PERIOD_MS;
    if (!this.hasAccess()) {
      this.#isReadable = false;
      return this.#restartTerm();
    }
    this.#isReadable = true;
    const { table } = this.#world;
    if (this.#unsettledMs !== undefined && this.#unsettledMs <= nowMs) {
      this.#unsettledMs = undefined;
    }
    this.#members.learn(nowMs);
    this.failureDomain.learnRow(table.getRow(MODEL_DOMAIN_KEY));
    this.#configuration.learn(table.getRow(CONFIGURATION_HEAD_KEY));
    if (this.failureDomain.fact?.provisional) this.failureDomain.makeDurable();
    this.#learnOwner(table.getRow(MODEL_OWNER_KEY), nowMs);
  }

  #learnOwner(tableRow: TableRow | undefined, nowMs: number): void {
    this.#ownerRow = tableRow;
    const version = tableRow?.version ?? 0;
    this.#ownerBeat = observeRowVersion(this.#ownerBeat, version, nowMs);
    this.#learnLeaseRow(tableRow);
    if (this.#lease !== undefined || this.#unsettledMs !== undefined) return;
    const row = tableRow && readValue<OwnerRow>(tableRow);
    const decision = decideOwnership({
      self: this.#options,
      row,
      observation: this.#ownerBeat,
      rank: this.members.indexOf(this.entry),
      hasContactedEveryMember: this.#members.hasMet,
      leaving: false,
    });
    if (decision.kind === "take") this.#take(decision.epoch, nowMs);
    if (decision.kind === "renew" && row !== undefined) {
      this.#gain(recoverLease(row.epoch, nowMs), tableRow);
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
      this.failureDomain.createCondition(),
    ]);
    if (outcome.kind === "committed") {
      this.#writtenMs = nowMs;
      this.#gain(grantLease(epoch, nowMs), outcome.rows[0]);
    }
    if (outcome.kind === "unavailable" && outcome.effect === "lost") {
      this.#unsettledMs = nowMs;
    }
  }

  #gain(lease: OwnershipLease, tableRow: TableRow | undefined): void {
    this.#lease = lease;
    this.#leaseRow = tableRow;
    this.#world.noteTakeover(this, lease.epoch);
  }

  #renew(nowMs: number): void {
    this.#beatDueMs = nowMs + OWNERSHIP_RENEWAL_PERIOD_MS;
    if (this.#lease === undefined || this.#leaseRow === undefined) return;
    const row = readValue<OwnerRow>(this.#leaseRow);
    const outcome = this.#world.transact(this, MODEL_OWNER_KEY, {
      ...row,
      beat: row.beat + 1,
    }, [
      createUnchangedCondition(MODEL_OWNER_KEY, this.#leaseRow),
      this.failureDomain.createCondition(),
    ]);
    if (outcome.kind === "unavailable") return;
    const find = (key: string) => outcome.rows.find((one) => one.key === key);
    this.#learnLeaseRow(find(MODEL_OWNER_KEY));
    if (outcome.kind === "conflict") {
      return this.failureDomain.learnRow(find(MODEL_DOMAIN_KEY));
    }
    if (this.#lease === undefined) return;
    this.#writtenMs = nowMs;
    this.#lease = renewLease(this.#lease, nowMs);
  }

  #extend(nowMs: number): void {
    if (this.#isReadable || this.#lease === undefined) return;
    const members = this.#members.listWorld();
    const digest = this.failureDomain.computeDigest();
    if (!this.#members.isInStep(digest) || !isOutageClusterWide(members)) {
      return;
    }
    if (!isUncontested(members, MODEL_DOMAIN, this.#lease.epoch)) return;
    this.#lease = extendLease(this.#lease, nowMs);
  }

  #sendHeartbeat(nowMs: number): void {
    this.#heartbeatDueMs = nowMs + MESH_HEARTBEAT_PERIOD_MS;
    const epoch = this.#lease?.epoch;
    const held = { failureDomain: MODEL_DOMAIN, epoch: epoch ?? 0 };
    const tableReachable = this.#isReadable || this.#unsettledMs !== undefined;
    const holdings = epoch === undefined ? [] : [held];
    for (const peer of this.#world.listLinked(this)) {
      peer.#members.hear(this.entry, {
        tableReachable,
        holdings,
        membersVersion: this.#members.version,
        settled: this.#members.hasMet,
        factsDigest: this.failureDomain.computeDigest(),
      });
    }
    this.failureDomain.tellWhatDiffers();
  }
}
