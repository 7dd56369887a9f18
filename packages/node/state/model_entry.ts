/** One entry of the model: replaces the controllers' loops and calls their decision functions. */
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
  /** Milliseconds on the entry's own clock per millisecond of the model. */
  readonly rate: number;
}

export class ModelEntry {
  readonly entry: EntryName;
  readonly failureDomain: ModelFailureDomain;
  readonly #members: ModelMembers;
  readonly #configuration: ModelConfiguration;
  readonly #options: ModelEntryOptions;
  readonly #cluster: ModelCluster;
  hasDirectTablePath = true;
  /** Number of coming transactions whose answer is lost. */
  lostAnswers = 0;
  /** Delay of the next transaction; 0 for none. */
  delayNextMs = 0;
  #isAlive = true;
  #pausedMs: number | undefined;
  #lastRunMs = 0;
  #pollDueMs = 0;
  #renewalDueMs = 0;
  #heartbeatDueMs = 0;
  #isReadable = false;
  #unsettledMs: number | undefined;
  #ownerRow: TableRow | undefined;
  #ownerObservation: RowObservation | undefined;
  #lease: OwnershipLease | undefined;
  #leaseRow: TableRow | undefined;
  #writtenMs = Number.NEGATIVE_INFINITY;

  private constructor(cluster: ModelCluster, options: ModelEntryOptions) {
    this.#cluster = cluster;
    this.#options = options;
    this.entry = options.entry;
    this.failureDomain = ModelFailureDomain.create(cluster, this);
    this.#members = ModelMembers.create(cluster, this);
    this.#configuration = ModelConfiguration.create(cluster, this);
  }

  static create(cluster: ModelCluster, options: ModelEntryOptions): ModelEntry {
    const entry = new ModelEntry(cluster, options);
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
    this.#pausedMs ??= this.#cluster.nowMs;
  }

  resume(): void {
    this.#pausedMs = undefined;
  }

  kill(): void {
    this.#isAlive = false;
  }

  mayAct(): boolean {
    return this.#lease !== undefined &&
      isLeaseActive(this.#lease, this.nowMs());
  }

  isActingInOutage(): boolean {
    return this.mayAct() &&
      this.nowMs() - this.#writtenMs >= OWNERSHIP_LEASE_MS;
  }

  /** Directly, or relayed by a peer whose heartbeat reports that it reaches the table. */
  canReachTable(): boolean {
    if (this.hasDirectTablePath) return true;
    return this.#cluster.listLinked(this).some((peer) =>
      peer.hasDirectTablePath &&
      this.#members.getRecentHeartbeat(peer.entry)?.tableReachable === true
    );
  }

  run(): void {
    const nowMs = this.nowMs();
    const lateMs = nowMs - this.#lastRunMs - STEP_MS * this.#options.rate;
    this.#lastRunMs = nowMs;
    if (lateMs > PAUSE_THRESHOLD_MS) {
      this.#members.clearHeartbeats();
      this.#restartObservation();
    }
    if (nowMs >= this.#pollDueMs) this.#poll(nowMs);
    this.#extendInOutage(nowMs);
    if (nowMs >= this.#renewalDueMs) this.#renew(nowMs);
    this.#members.renew(nowMs);
    if (nowMs >= this.#heartbeatDueMs) this.#sendHeartbeat(nowMs);
    if (
      this.mayAct() && this.failureDomain.record?.state === "in" && this.#lease
    ) {
      this.#cluster.start(this, this.#lease.epoch);
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
    if (this.isRunning) this.#configuration.checkStaleHead();
  }

  nowMs(): number {
    return this.#cluster.nowMs * this.#options.rate;
  }

  #restartObservation(): void {
    this.#ownerObservation = undefined;
  }

  #poll(nowMs: number): void {
    this.#pollDueMs = nowMs + STATE_POLL_PERIOD_MS;
    if (!this.canReachTable()) {
      this.#isReadable = false;
      return this.#restartObservation();
    }
    this.#isReadable = true;
    const { table } = this.#cluster;
    if (this.#unsettledMs !== undefined && this.#unsettledMs <= nowMs) {
      this.#unsettledMs = undefined;
    }
    this.#members.applyRows(nowMs);
    this.failureDomain.applyRow(table.getRow(MODEL_DOMAIN_KEY));
    this.#configuration.applyHead(table.getRow(CONFIGURATION_HEAD_KEY));
    if (this.failureDomain.record?.provisional) {
      this.failureDomain.makeDurable();
    }
    this.#applyOwnerRow(table.getRow(MODEL_OWNER_KEY), nowMs);
  }

  #applyOwnerRow(tableRow: TableRow | undefined, nowMs: number): void {
    this.#ownerRow = tableRow;
    const version = tableRow?.version ?? 0;
    this.#ownerObservation = observeRowVersion(
      this.#ownerObservation,
      version,
      nowMs,
    );
    this.#applyLeaseRow(tableRow);
    if (this.#lease !== undefined || this.#unsettledMs !== undefined) return;
    const row = tableRow && readValue<OwnerRow>(tableRow);
    const decision = decideOwnership({
      self: this.#options,
      row,
      observation: this.#ownerObservation,
      rank: this.members.indexOf(this.entry),
      hasContactedEveryMember: this.#members.hasContactedEveryMember,
      leaving: false,
    });
    if (decision.kind === "take") this.#take(decision.epoch, nowMs);
    if (decision.kind === "renew" && row !== undefined) {
      this.#gain(recoverLease(row.epoch, nowMs), tableRow);
    }
  }

  #applyLeaseRow(tableRow: TableRow | undefined): void {
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
    const outcome = this.#cluster.transact(this, MODEL_OWNER_KEY, row, [
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
    this.#cluster.recordTakeover(this, lease.epoch);
  }

  #renew(nowMs: number): void {
    this.#renewalDueMs = nowMs + OWNERSHIP_RENEWAL_PERIOD_MS;
    if (this.#lease === undefined || this.#leaseRow === undefined) return;
    const row = readValue<OwnerRow>(this.#leaseRow);
    const outcome = this.#cluster.transact(this, MODEL_OWNER_KEY, {
      ...row,
      beat: row.beat + 1,
    }, [
      createUnchangedCondition(MODEL_OWNER_KEY, this.#leaseRow),
      this.failureDomain.createCondition(),
    ]);
    if (outcome.kind === "unavailable") return;
    const find = (key: string) => outcome.rows.find((one) => one.key === key);
    this.#applyLeaseRow(find(MODEL_OWNER_KEY));
    if (outcome.kind === "conflict") {
      return this.failureDomain.applyRow(find(MODEL_DOMAIN_KEY));
    }
    if (this.#lease === undefined) return;
    this.#writtenMs = nowMs;
    this.#lease = renewLease(this.#lease, nowMs);
  }

  #extendInOutage(nowMs: number): void {
    if (this.#isReadable || this.#lease === undefined) return;
    const members = this.#members.listClusterMembers();
    const digest = this.failureDomain.computeDigest();
    if (
      !this.#members.isInSyncWithPeers(digest) || !isOutageClusterWide(members)
    ) {
      return;
    }
    if (!isUncontested(members, MODEL_DOMAIN, this.#lease.epoch)) return;
    this.#lease = extendLease(this.#lease, nowMs);
  }

  #sendHeartbeat(nowMs: number): void {
    this.#heartbeatDueMs = nowMs + MESH_HEARTBEAT_PERIOD_MS;
    const epoch = this.#lease?.epoch;
    const owned = { failureDomain: MODEL_DOMAIN, epoch: epoch ?? 0 };
    const tableReachable = this.#isReadable || this.#unsettledMs !== undefined;
    const holdings = epoch === undefined ? [] : [owned];
    for (const peer of this.#cluster.listLinked(this)) {
      peer.#members.receive(this.entry, {
        tableReachable,
        holdings,
        membersVersion: this.#members.version,
        settled: this.#members.hasContactedEveryMember,
        factsDigest: this.failureDomain.computeDigest(),
      });
    }
    this.failureDomain.sendIfDifferent();
  }
}
