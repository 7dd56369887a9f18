/**
 * Keeps the accepted configuration in force on this entry. The configuration head, a row of the
 * table service, names the accepted version. A new head is announced over the mesh and found by
 * polling the row; the version in force on this entry never decreases.
 */
import type { Declarations, Digest, EntryName } from "@coltsfootpond/common";
import type { PrioritisedTablePort } from "@coltsfootpond/ports";
import { type Observable, Subject } from "rxjs";
import { CONFIGURATION_READ_JITTER_MS } from "../constants.ts";
import type { PeerHeartbeats } from "../membership/peer_heartbeats.ts";
import type { MeshDelivery } from "../mesh/messages.ts";
import { CONFIGURATION_HEAD_KEY, type ConfigurationHeadRow } from "../rows.ts";
import {
  isNewestConfiguration,
  isOutageClusterWide,
} from "../state/cluster_wide_outage.ts";
import type { RowSnapshot, RowWatcher } from "../state/row_watcher.ts";
import { readValue } from "../state/rows_json.ts";
import type { ClusterView } from "../state/cluster_view.ts";
import type {
  ActiveConfiguration,
  ConfigurationView,
  Controller,
  EntryContext,
  MembershipView,
  Mesh,
} from "../types.ts";
import { applyConfiguration } from "./apply.ts";
import { ChunkStore } from "./chunk_store.ts";
import {
  type ConfirmedConfiguration,
  decideHead,
  getConfirmationMs,
  isConfirmationFresh,
} from "./decisions.ts";
import type {
  ApplyOutcome,
  ApplyRequest,
  ConfigurationFile,
  ConfigurationProblem,
  InForceReport,
  ParseOutcome,
} from "./types.ts";

export interface ConfigurationControllerOptions {
  readonly context: EntryContext;
  readonly mesh: Mesh;
  readonly table: PrioritisedTablePort;
  readonly rows: RowWatcher;
  readonly membership: MembershipView;
  readonly peers: PeerHeartbeats;
  readonly clusterView: ClusterView;
  readonly parse: (files: readonly ConfigurationFile[]) => ParseOutcome;
  /** Problems that make the guaranteed shapes infeasible; empty when they all fit. */
  readonly checkFeasibility: (
    declarations: Declarations,
  ) => readonly ConfigurationProblem[];
}

const IN_FORCE_CHECK_PERIOD_MS = 100;
const NO_DIGEST = "" as Digest;

/** Applies operators' declarations; gives the other controllers the configuration in force. */
export class ConfigurationController implements Controller, ConfigurationView {
  readonly name = "configuration";
  readonly #options: ConfigurationControllerOptions;
  readonly #chunks: ChunkStore;
  readonly #changes = new Subject<ActiveConfiguration>();
  #confirmed: ConfirmedConfiguration = {
    version: 0,
    digest: NO_DIGEST,
    confirmedMs: Number.NEGATIVE_INFINITY,
  };
  #active: ActiveConfiguration | undefined;
  #advancing = false;

  private constructor(options: ConfigurationControllerOptions) {
    this.#options = options;
    this.#chunks = ChunkStore.create(options.context);
  }

  static create(
    options: ConfigurationControllerOptions,
  ): ConfigurationController {
    const controller = new ConfigurationController(options);
    options.rows.add({
      listKeys: () => [CONFIGURATION_HEAD_KEY],
      applySnapshot: (snapshot) => controller.#applySnapshot(snapshot),
    });
    options.mesh.deliveries.subscribe((delivery) =>
      controller.#receive(delivery)
    );
    return controller;
  }

  get changes(): Observable<ActiveConfiguration> {
    return this.#changes;
  }

  current(): ActiveConfiguration | undefined {
    return this.#active;
  }

  confirmedAgeMs(): number {
    return this.#options.context.clock.nowMs() - this.#confirmed.confirmedMs;
  }

  /**
   * Whether the version was confirmed within `CONFIGURATION_FRESHNESS_MS`, or no entry can have
   * replaced it because the outage of the table service is cluster-wide.
   */
  isFresh(): boolean {
    const nowMs = this.#options.context.clock.nowMs();
    if (isConfirmationFresh(this.#confirmed, nowMs)) return true;
    if (this.#confirmed.version === 0) return false;
    const members = this.#options.clusterView.list();
    return this.#options.clusterView.isInSyncWithPeers() &&
      isOutageClusterWide(members) &&
      isNewestConfiguration(members, this.#confirmed.version);
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }

  /** Checks a whole set of declarations and makes it the accepted one, or changes nothing. */
  async apply(request: ApplyRequest): Promise<ApplyOutcome> {
    const { context, table, mesh, parse, checkFeasibility } = this.#options;
    const outcome = await applyConfiguration(request, {
      entry: context.identity.entry,
      table,
      chunks: this.#chunks,
      parse,
      checkFeasibility,
    });
    if (outcome.kind !== "accepted") return outcome;
    const { version } = outcome.head;
    context.events.emit("configuration.accepted", { version });
    mesh.broadcast({ kind: "configuration_accepted", version });
    await this.#options.rows.refresh();
    return outcome;
  }

  /** Lists the members on which `version` or a newer one is in force now, and the other members. */
  reportInForce(version: number): InForceReport {
    const inForceEntries: EntryName[] = [];
    const missingEntries: EntryName[] = [];
    for (const member of this.#options.membership.list()) {
      const inForce = member.self
        ? this.#confirmed.version
        : this.#options.peers.get(member.entry)?.configurationVersion ?? 0;
      (inForce >= version ? inForceEntries : missingEntries).push(member.entry);
    }
    return { version, inForceEntries, missingEntries };
  }

  /** Resolves when `version` is in force on every member, or after `timeoutMs`. */
  async waitUntilInForce(
    version: number,
    timeoutMs: number,
  ): Promise<InForceReport> {
    const { clock } = this.#options.context;
    const deadlineMs = clock.nowMs() + timeoutMs;
    while (true) {
      const report = this.reportInForce(version);
      const isDone = report.missingEntries.length === 0;
      if (isDone || clock.nowMs() >= deadlineMs) return report;
      await clock.sleep(IN_FORCE_CHECK_PERIOD_MS);
    }
  }

  #applySnapshot(snapshot: RowSnapshot): void {
    const row = snapshot.get(CONFIGURATION_HEAD_KEY);
    const head = row && readValue<ConfigurationHeadRow>(row);
    const decision = decideHead(this.#confirmed, head);
    switch (decision.kind) {
      case "confirm":
        return this.#confirm(snapshot.startedMs);
      case "advance":
        return void this.#advance(decision.head, snapshot.startedMs);
      case "reject":
        return this.#options.context.events.emit("configuration.rejected", {
          version: head?.version ?? 0,
        });
    }
  }

  #confirm(confirmedMs: number): void {
    if (confirmedMs <= this.#confirmed.confirmedMs) return;
    this.#confirmed = { ...this.#confirmed, confirmedMs };
  }

  async #advance(
    head: ConfigurationHeadRow,
    confirmedMs: number,
  ): Promise<void> {
    if (this.#advancing) return;
    this.#advancing = true;
    try {
      const fetched = await this.#chunks.fetch(head.digest);
      if (fetched.kind === "failed") {
        return this.#emitFailure(head, fetched.reason);
      }
      const parsed = this.#options.parse(fetched.files);
      if (parsed.kind === "invalid") {
        return this.#emitFailure(head, parsed.problems[0]?.message ?? "");
      }
      if (head.version <= this.#confirmed.version) return;
      const { version, digest } = head;
      this.#confirmed = { version, digest, confirmedMs };
      this.#active = {
        version,
        head: { ...head, chunks: fetched.chunks },
        declarations: parsed.declarations,
      };
      this.#options.context.events.emit("configuration.in_force", { version });
      this.#changes.next(this.#active);
      void this.#options.rows.refresh();
    } finally {
      this.#advancing = false;
    }
  }

  #emitFailure(head: ConfigurationHeadRow, reason: string): void {
    this.#options.context.events.emit(
      "configuration.not_in_force",
      { version: head.version },
      reason,
    );
  }

  #receive(delivery: MeshDelivery): void {
    const { message } = delivery;
    const { clock } = this.#options.context;
    if (message.kind === "heartbeat") {
      const peer = {
        version: message.configurationVersion,
        ageMs: message.configurationAgeMs,
      };
      const confirmedMs = getConfirmationMs(
        this.#confirmed,
        peer,
        clock.nowMs(),
      );
      if (confirmedMs !== undefined) this.#confirm(confirmedMs);
    }
    if (message.kind === "configuration_accepted") {
      if (message.version > this.#confirmed.version) this.#refreshAfterJitter();
    }
  }

  /** The random delay keeps an announcement from making all entries read at the same time. */
  #refreshAfterJitter(): void {
    const { clock, random } = this.#options.context;
    clock.after(
      random.next() * CONFIGURATION_READ_JITTER_MS,
      () => void this.#options.rows.refresh(),
    );
  }
}
