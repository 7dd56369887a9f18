/**
 * Creates and connects the controllers of shared state: one read per period serves all of them, and
 * one heartbeat reports their state to the peers.
 */
import type { Declarations } from "@coltsfootpond/common";
import type { PrioritisedTablePort } from "@coltsfootpond/ports";
import { ConfigurationController } from "../configuration/configuration_controller.ts";
import type {
  ConfigurationFile,
  ConfigurationProblem,
  ParseOutcome,
} from "../configuration/types.ts";
import { FailureDomainController } from "../failure_domains/failure_domain_controller.ts";
import {
  type EntryAddress,
  MembershipController,
} from "../membership/membership_controller.ts";
import { PeerHeartbeats } from "../membership/peer_heartbeats.ts";
import type { MeshMessage } from "../mesh/messages.ts";
import { OwnershipController } from "../ownership/ownership_controller.ts";
import type { EntryContext, Mesh } from "../types.ts";
import { RowWatcher } from "./row_watcher.ts";
import { ClusterView } from "./cluster_view.ts";

export interface StateControllersOptions {
  readonly context: EntryContext;
  readonly mesh: Mesh;
  readonly table: PrioritisedTablePort;
  readonly address: EntryAddress;
  readonly parse: (files: readonly ConfigurationFile[]) => ParseOutcome;
  readonly checkFeasibility: (
    declarations: Declarations,
  ) => readonly ConfigurationProblem[];
}

export class StateControllers {
  readonly rows: RowWatcher;
  readonly peers: PeerHeartbeats;
  readonly membership: MembershipController;
  readonly configuration: ConfigurationController;
  readonly failureDomains: FailureDomainController;
  readonly ownership: OwnershipController;
  readonly #mesh: Mesh;
  #sequence = 0;

  private constructor(options: StateControllersOptions) {
    const { context, mesh, table } = options;
    this.#mesh = mesh;
    const { identity, clock, events } = context;
    const rows = RowWatcher.create({ table, clock, events });
    const peers = PeerHeartbeats.create(mesh, clock);
    const shared = { context, mesh, table, rows, peers };
    const membership = MembershipController.create({
      ...shared,
      address: options.address,
    });
    const clusterView = ClusterView.create({
      identity,
      membership,
      peers,
      computeRecordsDigest: () => this.failureDomains.computeRecordsDigest(),
    });
    const configuration = ConfigurationController.create({
      ...shared,
      membership,
      clusterView,
      parse: options.parse,
      checkFeasibility: options.checkFeasibility,
    });
    const listDeclared = () =>
      configuration.current()?.declarations.failureDomains ?? [];
    const failureDomains = FailureDomainController.create({
      ...shared,
      membership,
      listDeclared: () => listDeclared().map(({ name }) => name),
      isMembershipNewest: () => clusterView.isMembershipNewest(),
      getOwner: (failureDomain) => this.ownership.getOwner(failureDomain),
    });
    this.ownership = OwnershipController.create({
      ...shared,
      membership,
      clusterView,
      failureDomains,
      listDeclared,
    });
    this.rows = rows;
    this.peers = peers;
    this.membership = membership;
    this.configuration = configuration;
    this.failureDomains = failureDomains;
  }

  static create(options: StateControllersOptions): StateControllers {
    return new StateControllers(options);
  }

  /** The heartbeat that the mesh sends in every period. */
  createHeartbeat(): MeshMessage {
    const { configuration, rows, ownership, membership } = this;
    return {
      kind: "heartbeat",
      sequence: this.#sequence++,
      configurationVersion: configuration.current()?.version ?? 0,
      configurationAgeMs: Math.min(
        configuration.confirmedAgeMs(),
        Number.MAX_SAFE_INTEGER,
      ),
      tableReachable: rows.isReadable() || ownership.hasPendingTakeover(),
      leaving: membership.isLeaving(),
      membersVersion: membership.membersVersion,
      factsDigest: this.failureDomains.computeRecordsDigest(),
      settled: membership.hasContactedEveryMember(),
      holdings: ownership.listOwned(),
    };
  }

  /** Starts each controller after the ones that it depends on. */
  async start(): Promise<void> {
    await this.rows.start();
    await this.membership.start();
    await this.configuration.start();
    await this.failureDomains.start();
    await this.ownership.start();
  }

  /** First half of a planned stop: announces it to the peers and releases all failure domains. */
  async leave(): Promise<void> {
    await this.membership.leave();
    this.#mesh.broadcast(this.createHeartbeat());
    await this.ownership.stop();
  }

  /** Second half of a planned stop, once no request is in progress. */
  async stop(): Promise<void> {
    await this.ownership.stop();
    await this.failureDomains.stop();
    await this.configuration.stop();
    await this.membership.stop();
    await this.rows.stop();
  }
}
