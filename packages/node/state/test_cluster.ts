/**
 * A cluster of entries in one process for tests: the real controllers with a table in memory, a
 * mesh in memory and one manual clock. Entries can be paused, disconnected from each other and from
 * the table.
 */
import {
  brandId,
  type EntryName,
  type EventSubject,
  type FailureDomainName,
  type Incarnation,
  ManualClock,
  SeededRandom,
} from "@coltsfootpond/common";
import {
  FaultInjector,
  FaultyObjects,
  FaultyTable,
  MemoryObjects,
  MemoryTable,
  type PlatformPorts,
  ResilientTable,
} from "@coltsfootpond/ports";
import type { ConfigurationFile } from "../configuration/types.ts";
import { MESH_HEARTBEAT_PERIOD_MS } from "../constants.ts";
import type { MeshMessage } from "../mesh/messages.ts";
import { RelayTable } from "../relay/relay_table.ts";
import { MemoryMesh } from "./memory_mesh.ts";
import { PausableClock } from "./pausable_clock.ts";
import { StateControllers } from "./state_controllers.ts";
import { parseTestFiles, REGION } from "./test_declarations.ts";

const LATENCY_MS = 1;

/** One entry of the cluster. */
export interface ClusterNode {
  readonly entry: EntryName;
  readonly incarnation: string;
  readonly clock: PausableClock;
  readonly faults: FaultInjector;
  readonly table: ResilientTable;
  readonly state: StateControllers;
  readonly mesh: MemoryMesh;
  readonly events: string[];
}

export interface TestClusterOptions {
  readonly entries: readonly string[];
  readonly failureDomains: readonly string[];
  readonly seed?: number;
}

export class TestCluster {
  readonly clock = ManualClock.create();
  readonly table = MemoryTable.create();
  readonly objects = MemoryObjects.create();
  readonly nodes = new Map<string, ClusterNode>();
  readonly #options: TestClusterOptions;
  readonly #disconnected = new Set<string>();
  readonly #random: SeededRandom;
  readonly #versions = new Map<string, number>();

  private constructor(options: TestClusterOptions) {
    this.#options = options;
    this.#random = SeededRandom.create(options.seed ?? 1);
  }

  /** Starts every entry, applies a first configuration and waits until ownership is stable. */
  static async create(options: TestClusterOptions): Promise<TestCluster> {
    const cluster = new TestCluster(options);
    for (const entry of options.entries) await cluster.join(entry);
    const first = cluster.node(options.entries[0] ?? "");
    const applying = first.state.configuration.apply({
      files: cluster.createFiles("first"),
      baseVersion: 0,
    });
    await cluster.advance(STARTUP_MS);
    await applying;
    return cluster;
  }

  node(entry: string): ClusterNode {
    const node = this.nodes.get(entry);
    if (node === undefined) {
      throw new Error(`entry ${entry} is not in the cluster`);
    }
    return node;
  }

  listRunning(): readonly ClusterNode[] {
    return [...this.nodes.values()].filter((node) => node.clock.isRunning);
  }

  async advance(durationMs: number): Promise<void> {
    await this.clock.advance(durationMs);
  }

  createFiles(text: string): readonly ConfigurationFile[] {
    return [{ name: "deployment.toml", text }, {
      name: "shared.toml",
      text: "shared",
    }];
  }

  /** Starts an entry; a second one of the same name is a new incarnation of it. */
  async join(
    name: string,
    options: { readonly isTableDown?: boolean } = {},
  ): Promise<ClusterNode> {
    const entry = brandId<EntryName>(name);
    const clock = PausableClock.create(this.clock);
    const faults = FaultInjector.create(clock);
    faults.down = options.isTableDown ?? false;
    const platform = {
      table: FaultyTable.create(this.table, faults),
      objects: FaultyObjects.create(this.objects, faults),
    } as Partial<PlatformPorts> as PlatformPorts;
    const incarnation = `${name}-${this.nodes.size}-${this.clock.nowMs()}`;
    const mesh = MemoryMesh.create(
      clock,
      (to, message) => this.#post(name, incarnation, to, message),
    );
    const events: string[] = [];
    const sink = {
      emit: (event: string, subject?: EventSubject) =>
        void events.push(this.#describe(event, subject)),
    };
    const random = this.#random;
    const direct = platform.table;
    const table = ResilientTable.create({
      port: RelayTable.create({ direct, mesh, clock, random, events: sink }),
      clock,
      random,
    });
    const state = StateControllers.create({
      context: {
        identity: {
          entry,
          incarnation: brandId<Incarnation>(incarnation),
          region: REGION,
          failureDomain: brandId<FailureDomainName>("here"),
        },
        clock,
        random,
        events: sink,
        platform,
      },
      mesh,
      table,
      address: { host: "127.0.0.1", httpPort: 1, meshPort: 2 },
      parse: (files) => parseTestFiles(files, this.#options.failureDomains),
      checkFeasibility: () => [],
    });
    const node = {
      entry,
      incarnation,
      clock,
      faults,
      table,
      state,
      mesh,
      events,
    };
    this.nodes.set(name, node);
    clock.every(
      MESH_HEARTBEAT_PERIOD_MS,
      () => mesh.broadcast(state.createHeartbeat()),
    );
    const starting = state.start();
    await this.advance(STEP_MS);
    await Promise.race([starting, Promise.resolve()]);
    return node;
  }

  /** Disconnects or reconnects the mesh between two entries, in both directions. */
  setDisconnected(left: string, right: string, isDisconnected: boolean): void {
    for (const pair of [`${left}>${right}`, `${right}>${left}`]) {
      if (isDisconnected) this.#disconnected.add(pair);
      else this.#disconnected.delete(pair);
    }
  }

  /** Disconnects one entry from all others, or reconnects it. */
  isolate(entry: string, isDisconnected: boolean): void {
    for (const other of this.nodes.keys()) {
      this.setDisconnected(entry, other, isDisconnected);
    }
  }

  setTableDown(isDown: boolean): void {
    for (const node of this.nodes.values()) node.faults.down = isDown;
  }

  /** Entries that may act on the failure domain now, as `entry@epoch`. */
  listActing(failureDomain: string): readonly string[] {
    const acting: string[] = [];
    for (const node of this.listRunning()) {
      const owned = node.state.ownership.listOwned().filter((domain) =>
        domain.failureDomain === failureDomain &&
        node.state.ownership.mayAct(domain)
      );
      acting.push(...owned.map(({ epoch }) => `${node.entry}@${epoch}`));
    }
    return acting;
  }

  /**
   * Advances in small steps and records every change of the entries that may act. Throws as soon as
   * two entries may act on one failure domain, or a configuration version in force decreases.
   */
  async watch(durationMs: number): Promise<string[]> {
    const changes: string[] = [];
    const startMs = this.clock.nowMs();
    let before = "";
    while (this.clock.nowMs() < startMs + durationMs) {
      await this.advance(WATCH_STEP_MS);
      this.#checkVersions();
      const description = this.#options.failureDomains.map((domain) =>
        this.#describeActing(domain)
      ).join(", ");
      if (description === before) continue;
      before = description;
      const atMs = Math.round(this.clock.nowMs() - startMs);
      changes.push(`${atMs}: ${description}`);
    }
    return changes;
  }

  /** The entry that may act on the failure domain. */
  getActing(failureDomain: string): string {
    return this.listActing(failureDomain)[0]?.split("@")[0] ?? "nobody";
  }

  listEvents(entry: string, sinceMs: number): readonly string[] {
    return this.node(entry).events.filter((event) =>
      Number(event.split(" ")[0]) >= sinceMs
    );
  }

  #describeActing(failureDomain: string): string {
    const acting = this.listActing(failureDomain);
    if (acting.length > 1) {
      throw new Error(`${failureDomain}: ${acting.join(" and ")} may act`);
    }
    return `${failureDomain} ${acting[0] ?? "nobody"}`;
  }

  #checkVersions(): void {
    for (const [name, node] of this.nodes) {
      const version = node.state.configuration.current()?.version ?? 0;
      const key = `${node.incarnation}`;
      if (version < (this.#versions.get(key) ?? 0)) {
        throw new Error(`${name}: version decreases to ${version}`);
      }
      this.#versions.set(key, version);
    }
  }

  #describe(event: string, subject: EventSubject = {}): string {
    const details = [
      subject.failureDomain,
      subject.epoch && `epoch ${subject.epoch}`,
      subject.version && `version ${subject.version}`,
    ].filter((detail) => detail !== undefined);
    return [`${Math.round(this.clock.nowMs())}`, event, ...details].join(" ");
  }

  #post(
    from: string,
    incarnation: string,
    to: EntryName | undefined,
    message: MeshMessage,
  ): void {
    for (const [name, node] of this.nodes) {
      if (name === from || (to !== undefined && to !== name)) continue;
      if (this.#disconnected.has(`${from}>${name}`)) continue;
      const sender = brandId<EntryName>(from);
      node.clock.after(LATENCY_MS, () => {
        node.mesh.receivedMs.set(sender, this.clock.nowMs());
        node.mesh.deliveries.next({
          from: sender,
          incarnation: brandId<Incarnation>(incarnation),
          message,
        });
      });
    }
  }
}

const STEP_MS = 100;
const WATCH_STEP_MS = 50;
const STARTUP_MS = 10_000;
