/**
 * Makes this entry the owner of failure domains: takes free and expired ones, renews their leases
 * and hands them over to members that come first in the order of preference. The owner row is
 * authoritative; epoch and lease keep an entry that has lost ownership from acting.
 */
import type {
  EntryName,
  FailureDomainDeclaration,
  FailureDomainName,
  Timer,
} from "@coltsfootpond/common";
import type { PrioritisedTablePort } from "@coltsfootpond/ports";
import { type Observable, Subject } from "rxjs";
import {
  OWNERSHIP_CHECK_PERIOD_MS,
  OWNERSHIP_REBALANCE_DELAY_MS,
  OWNERSHIP_RENEWAL_PERIOD_MS,
  PAUSE_THRESHOLD_MS,
} from "../constants.ts";
import type { FailureDomainController } from "../failure_domains/failure_domain_controller.ts";
import type { MembershipController } from "../membership/membership_controller.ts";
import type { PeerHeartbeats } from "../membership/peer_heartbeats.ts";
import type { MeshDelivery } from "../mesh/messages.ts";
import { getOwnerKey } from "../rows.ts";
import {
  isOutageClusterWide,
  isUncontested,
} from "../state/cluster_wide_outage.ts";
import type { RowSnapshot, RowWatcher } from "../state/row_watcher.ts";
import type { ClusterView } from "../state/cluster_view.ts";
import type {
  Controller,
  EntryContext,
  Mesh,
  OwnedDomain,
  OwnershipChange,
  OwnershipView,
} from "../types.ts";
import { decideOwnership, recoverLease } from "./decisions.ts";
import { chooseHandover } from "./handover.ts";
import { OwnedLeases } from "./owned_leases.ts";
import { type ObservedOwner, OwnerObservations } from "./owner_observations.ts";
import { rankCandidates } from "./preference.ts";
import { type TakenLease, Takeovers } from "./takeovers.ts";

export interface OwnershipControllerOptions {
  readonly context: EntryContext;
  readonly mesh: Mesh;
  readonly table: PrioritisedTablePort;
  readonly rows: RowWatcher;
  readonly membership: MembershipController;
  readonly peers: PeerHeartbeats;
  readonly clusterView: ClusterView;
  readonly failureDomains: FailureDomainController;
  /** The failure domains of the configuration in force. */
  readonly listDeclared: () => readonly FailureDomainDeclaration[];
}

interface ScheduledRead {
  readonly atMs: number;
  readonly timer: Timer;
}

export class OwnershipController implements Controller, OwnershipView {
  readonly name = "ownership";
  readonly #options: OwnershipControllerOptions;
  readonly #changes = new Subject<OwnershipChange>();
  readonly #owners = OwnerObservations.create();
  readonly #leases: OwnedLeases;
  readonly #takeovers: Takeovers;
  #timer: Timer | undefined;
  #lastTickMs = 0;
  #renewedMs = Number.NEGATIVE_INFINITY;
  #handedOverMs = Number.NEGATIVE_INFINITY;
  #stopping = false;
  #nextRead: ScheduledRead | undefined;

  private constructor(options: OwnershipControllerOptions) {
    this.#options = options;
    this.#leases = OwnedLeases.create({
      identity: options.context.identity,
      clock: options.context.clock,
      table: options.table,
      failureDomains: options.failureDomains,
      onLost: (failureDomain, epoch) => this.#lose(failureDomain, epoch),
    });
    this.#takeovers = Takeovers.create(options);
  }

  static create(options: OwnershipControllerOptions): OwnershipController {
    const controller = new OwnershipController(options);
    options.rows.add({
      listKeys: () =>
        options.listDeclared().map(({ name }) => getOwnerKey(name)),
      applySnapshot: (snapshot) => controller.#applySnapshot(snapshot),
      onReadFailed: () => controller.#owners.restart(),
    });
    options.mesh.deliveries.subscribe((delivery) =>
      controller.#receive(delivery)
    );
    return controller;
  }

  get changes(): Observable<OwnershipChange> {
    return this.#changes;
  }

  listOwned(): readonly OwnedDomain[] {
    return this.#leases.listOwned();
  }

  mayAct(owned: OwnedDomain): boolean {
    return this.#leases.mayAct(owned);
  }

  getOwner(failureDomain: FailureDomainName): EntryName | undefined {
    const { identity } = this.#options.context;
    if (this.#leases.get(failureDomain) !== undefined) return identity.entry;
    return this.#owners.getOwner(failureDomain);
  }

  /** Whether a takeover is unsettled: its write may have taken effect without an answer. */
  hasPendingTakeover(): boolean {
    return this.#takeovers.hasUnsettledWrite();
  }

  start(): Promise<void> {
    const { clock } = this.#options.context;
    this.#lastTickMs = clock.nowMs();
    this.#timer = clock.every(OWNERSHIP_CHECK_PERIOD_MS, () => this.#tick());
    return Promise.resolve();
  }

  /** Releases all failure domains, so that the next owners need not wait for expired leases. */
  async stop(): Promise<void> {
    this.#stopping = true;
    this.#timer?.cancel();
    await Promise.all(
      this.#leases.list().map((failureDomain) => this.release(failureDomain)),
    );
  }

  /** Releases one failure domain: stops acting, then releases the row, then notifies the peers. */
  async release(failureDomain: FailureDomainName): Promise<void> {
    const lease = this.#leases.get(failureDomain);
    if (lease === undefined) return;
    const { epoch } = lease;
    const releasing = this.#leases.release(failureDomain);
    this.#lose(failureDomain, epoch);
    if (!await releasing) return;
    this.#emit("ownership.released", failureDomain, epoch);
    this.#options.mesh.broadcast({
      kind: "ownership_released",
      failureDomain,
      epoch,
    });
  }

  #tick(): void {
    const { clock } = this.#options.context;
    const nowMs = clock.nowMs();
    const lateMs = nowMs - this.#lastTickMs - OWNERSHIP_CHECK_PERIOD_MS;
    this.#lastTickMs = nowMs;
    if (lateMs > PAUSE_THRESHOLD_MS) this.#restartAfterPause(lateMs);
    this.#extendInOutage();
    for (const change of this.#leases.collectActingChanges()) {
      const event = change.mayAct ? "ownership.resumed" : "ownership.expired";
      this.#emit(event, change.failureDomain, change.epoch);
    }
    if (nowMs - this.#renewedMs < OWNERSHIP_RENEWAL_PERIOD_MS) return;
    this.#renewedMs = nowMs;
    void this.#leases.renew();
  }

  /**
   * After a pause of this process, heartbeats buffered in the sockets are of unknown age, so all
   * recorded heartbeats are dropped and all observations of owner rows restart.
   */
  #restartAfterPause(lateMs: number): void {
    this.#options.peers.clear();
    this.#owners.restart();
    this.#options.context.events.emit("process.paused", { durationMs: lateMs });
  }

  /** Extends the leases that no member contests during a cluster-wide outage. */
  #extendInOutage(): void {
    const { rows, clusterView } = this.#options;
    if (rows.isReadable() || !clusterView.isInSyncWithPeers()) return;
    for (const { name, region } of this.#options.listDeclared()) {
      const lease = this.#leases.get(name);
      if (lease === undefined) continue;
      const members = clusterView.list(region);
      if (!isOutageClusterWide(members)) continue;
      if (!isUncontested(members, name, lease.epoch)) continue;
      this.#leases.extend(name);
    }
  }

  #applySnapshot(snapshot: RowSnapshot): void {
    for (const declared of this.#options.listDeclared()) {
      const failureDomain = declared.name;
      this.#owners.applySnapshot(failureDomain, snapshot);
      const owner = this.#owners.get(failureDomain);
      if (owner === undefined) continue;
      if (!snapshot.has(getOwnerKey(failureDomain))) continue;
      this.#leases.applyRow(failureDomain, owner.tableRow);
      this.#takeovers.settle(failureDomain, snapshot.startedMs);
      this.#decide(declared, owner);
    }
    this.#rebalance();
  }

  #decide(declared: FailureDomainDeclaration, owner: ObservedOwner): void {
    const failureDomain = declared.name;
    const isOwned = this.#leases.get(failureDomain) !== undefined;
    const isPending = this.#takeovers.isUnsettled(failureDomain);
    if (isOwned || isPending || this.#stopping) return;
    const { context, membership } = this.#options;
    const rank = this.#rankCandidates(declared).indexOf(context.identity.entry);
    const decision = decideOwnership({
      self: context.identity,
      row: owner.row,
      observation: owner.observation,
      rank: rank < 0 ? undefined : rank,
      hasContactedEveryMember: membership.hasContactedEveryMember(),
      leaving: membership.isLeaving(),
    });
    switch (decision.kind) {
      case "leave":
        return;
      case "wait":
        return this.#scheduleRead(decision.untilMs);
      case "take":
        return void this.#take(failureDomain, decision.epoch, owner);
      case "renew":
        return this.#recover(failureDomain, owner);
    }
  }

  /**
   * Reads the rows again when a takeover is due, rather than in the next period. The earliest due
   * time counts: an entry that moves up in the order of preference has to wait less than before.
   */
  #scheduleRead(atMs: number): void {
    const { clock } = this.#options.context;
    if (this.#nextRead !== undefined && this.#nextRead.atMs <= atMs) return;
    this.#nextRead?.timer.cancel();
    const timer = clock.after(Math.max(0, atMs - clock.nowMs()), () => {
      this.#nextRead = undefined;
      void this.#options.rows.refresh();
    });
    this.#nextRead = { atMs, timer };
  }

  #rankCandidates(declared: FailureDomainDeclaration): readonly EntryName[] {
    const { clusterView } = this.#options;
    return rankCandidates(
      declared.name,
      clusterView.listCandidates(declared.region),
    );
  }

  async #take(
    failureDomain: FailureDomainName,
    epoch: number,
    owner: ObservedOwner,
  ): Promise<void> {
    const taken = await this.#takeovers.take(failureDomain, epoch, owner);
    if (taken !== undefined) this.#gain(failureDomain, taken);
  }

  /** Takes over the lease of an unsettled takeover: the row names this incarnation as the owner. */
  #recover(failureDomain: FailureDomainName, owner: ObservedOwner): void {
    const { row, tableRow } = owner;
    if (row === undefined || tableRow === undefined) return;
    const foundMs = this.#options.context.clock.nowMs();
    this.#gain(failureDomain, {
      lease: recoverLease(row.epoch, foundMs),
      tableRow,
    });
  }

  /** Hands over at most one failure domain per `OWNERSHIP_REBALANCE_DELAY_MS`. */
  #rebalance(): void {
    const { context, peers } = this.#options;
    const nowMs = context.clock.nowMs();
    if (nowMs - this.#handedOverMs < OWNERSHIP_REBALANCE_DELAY_MS) return;
    const declared = chooseHandover({
      owned: this.#options.listDeclared().filter(({ name }) =>
        this.#leases.get(name) !== undefined
      ),
      getPreferred: (owned) => this.#rankCandidates(owned)[0],
      getPeer: (entry) => peers.get(entry),
      nowMs,
    });
    if (declared === undefined) return;
    this.#handedOverMs = nowMs;
    void this.release(declared.name);
  }

  #receive(delivery: MeshDelivery): void {
    if (delivery.message.kind !== "ownership_released") return;
    void this.#options.rows.refresh();
  }

  #gain(failureDomain: FailureDomainName, taken: TakenLease): void {
    const { epoch } = taken.lease;
    this.#leases.add(failureDomain, taken.lease, taken.tableRow);
    this.#emit("ownership.gained", failureDomain, epoch);
    this.#changes.next({ kind: "gained", owned: { failureDomain, epoch } });
  }

  #lose(failureDomain: FailureDomainName, epoch: number): void {
    this.#emit("ownership.lost", failureDomain, epoch);
    this.#changes.next({ kind: "lost", owned: { failureDomain, epoch } });
  }

  #emit(event: string, failureDomain: FailureDomainName, epoch: number): void {
    this.#options.context.events.emit(event, { failureDomain, epoch });
  }
}
