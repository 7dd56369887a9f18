/**
 * Entries in one process for scenario tests: the real controllers over a table in memory, a mesh
 * in memory and one manual clock. Entries can be paused, cut from each other and from the table.
 */
import {
  type Clock,
  createId,
  type Declarations,
  type EntryName,
  type EventSubject,
  type FailureDomainName,
  type Incarnation,
  ManualClock,
  type RegionName,
  SeededRandom,
  type Timer,
} from "@coltsfootpond/common";
import {
  FaultSwitch,
  FaultyObjects,
  FaultyTable,
  MemoryObjects,
  MemoryTable,
  type PlatformPorts,
  ResilientTable,
} from "@coltsfootpond/platform";
import { Subject } from "rxjs";
import type {
  ConfigurationFile,
  ParseOutcome,
} from "../configuration/types.ts";
import { MESH_HEARTBEAT_MS, MESH_SILENCE_MS } from "../constants.ts";
import type { MeshDelivery, MeshMessage } from "../mesh/messages.ts";
import type { Holding, Mesh } from "../types.ts";
import { StateControllers } from "./state_controllers.ts";

export const REGION = createId<RegionName>("alpha");
const LATENCY_MS = 1;

/** A clock whose callbacks wait while the process is paused; time itself goes on. */
export class PausableClock implements Clock {
  readonly #inner: ManualClock;
  #paused = false;
  #stopped = false;
  #deferred: (() => void)[] = [];

  private constructor(inner: ManualClock) {
    this.#inner = inner;
  }

  static create(inner: ManualClock): PausableClock {
    return new PausableClock(inner);
  }

  nowMs(): number {
    return this.#inner.nowMs();
  }

  after(delayMs: number, callback: () => void): Timer {
    return this.#inner.after(delayMs, () => this.#run(callback));
  }

  every(periodMs: number, callback: () => void): Timer {
    return this.#inner.every(periodMs, () => this.#run(callback));
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.after(delayMs, resolve));
  }

  pause(): void {
    this.#paused = true;
  }

  thaw(): void {
    this.#paused = false;
    for (const callback of this.#deferred.splice(0)) callback();
  }

  /** As `kill -9` does: nothing runs any more. */
  kill(): void {
    this.#stopped = true;
  }

  get isRunning(): boolean {
    return !this.#paused && !this.#stopped;
  }

  #run(callback: () => void): void {
    if (this.#stopped) return;
    if (this.#paused) this.#deferred.push(callback);
    else callback();
  }
}

/** One entry of the cluster. */
export interface ClusterNode {
  readonly entry: EntryName;
  readonly clock: PausableClock;
  readonly faults: FaultSwitch;
  readonly table: ResilientTable;
  readonly state: StateControllers;
  readonly mesh: MemoryMesh;
  readonly events: string[];
}

class MemoryMesh implements Mesh {
  readonly deliveries = new Subject<MeshDelivery>();
  readonly heardMs = new Map<EntryName, number>();
  readonly #clock: PausableClock;
  readonly #post: (to: EntryName | undefined, message: MeshMessage) => void;

  constructor(
    clock: PausableClock,
    post: (to: EntryName | undefined, message: MeshMessage) => void,
  ) {
    this.#clock = clock;
    this.#post = post;
  }

  send(to: EntryName, message: MeshMessage): void {
    this.#post(to, message);
  }

  broadcast(message: MeshMessage): void {
    this.#post(undefined, message);
  }

  listConnected(): readonly EntryName[] {
    const nowMs = this.#clock.nowMs();
    return [...this.heardMs].filter(([, heardMs]) =>
      nowMs - heardMs < MESH_SILENCE_MS
    ).map(([entry]) => entry);
  }
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
  readonly #cuts = new Set<string>();
  readonly #random: SeededRandom;

  private constructor(options: TestClusterOptions) {
    this.#options = options;
    this.#random = SeededRandom.create(options.seed ?? 1);
  }

  /** Starts every entry, applies a first configuration and lets ownership settle. */
  static async create(options: TestClusterOptions): Promise<TestCluster> {
    const cluster = new TestCluster(options);
    for (const entry of options.entries) await cluster.join(entry);
    const first = cluster.node(options.entries[0] ?? "");
    const applying = first.state.configuration.apply({
      files: cluster.createFiles("first"),
      baseVersion: 0,
    });
    await cluster.advance(SETTLE_MS);
    await applying;
    return cluster;
  }

  node(entry: string): ClusterNode {
    const node = this.nodes.get(entry);
    if (node === undefined) throw new Error(`no entry ${entry}`);
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

  /** Starts an entry; a second one of the same name is a new life of it. */
  async join(name: string): Promise<ClusterNode> {
    const entry = createId<EntryName>(name);
    const clock = PausableClock.create(this.clock);
    const faults = FaultSwitch.create(clock);
    const platform = {
      table: FaultyTable.create(this.table, faults),
      objects: FaultyObjects.create(this.objects, faults),
    } as Partial<PlatformPorts> as PlatformPorts;
    const table = ResilientTable.create({
      port: platform.table,
      clock,
      random: this.#random,
    });
    const incarnation = `${name}-${this.nodes.size}-${this.clock.nowMs()}`;
    const mesh = new MemoryMesh(
      clock,
      (to, message) => this.#post(name, incarnation, to, message),
    );
    const events: string[] = [];
    const state = StateControllers.create({
      context: {
        identity: {
          entry,
          incarnation: createId<Incarnation>(incarnation),
          region: REGION,
          failureDomain: createId<FailureDomainName>("here"),
        },
        clock,
        random: this.#random,
        events: {
          emit: (event, subject) => events.push(this.#describe(event, subject)),
        },
        platform,
      },
      mesh,
      table,
      address: { host: "127.0.0.1", httpPort: 1, meshPort: 2 },
      parse: (files) => this.#parse(files),
      checkFeasibility: () => [],
    });
    const node = { entry, clock, faults, table, state, mesh, events };
    this.nodes.set(name, node);
    clock.every(
      MESH_HEARTBEAT_MS,
      () => mesh.broadcast(state.createHeartbeat()),
    );
    const starting = state.start();
    await this.advance(STEP_MS);
    await Promise.race([starting, Promise.resolve()]);
    return node;
  }

  /** Cuts or mends the mesh between two entries, both ways. */
  setCut(left: string, right: string, isCut: boolean): void {
    for (const pair of [`${left}>${right}`, `${right}>${left}`]) {
      if (isCut) this.#cuts.add(pair);
      else this.#cuts.delete(pair);
    }
  }

  /** Cuts or mends one entry from all others. */
  isolate(entry: string, isCut: boolean): void {
    for (const other of this.nodes.keys()) this.setCut(entry, other, isCut);
  }

  setTableDown(isDown: boolean): void {
    for (const node of this.nodes.values()) node.faults.down = isDown;
  }

  /** Entries that may act on the failure domain now, as `entry@epoch`. */
  listActing(failureDomain: string): readonly string[] {
    const acting: string[] = [];
    for (const node of this.listRunning()) {
      const held = node.state.ownership.listHeld().filter((holding) =>
        holding.failureDomain === failureDomain &&
        node.state.ownership.mayAct(holding)
      );
      acting.push(...held.map(({ epoch }) => `${node.entry}@${epoch}`));
    }
    return acting;
  }

  getHolding(entry: string): Holding | undefined {
    return this.node(entry).state.ownership.listHeld()[0];
  }

  #describe(event: string, subject: EventSubject = {}): string {
    const facts = [
      subject.failureDomain,
      subject.epoch && `epoch ${subject.epoch}`,
      subject.version && `version ${subject.version}`,
    ].filter((fact) => fact !== undefined);
    return [`${Math.round(this.clock.nowMs())}`, event, ...facts].join(" ");
  }

  #parse(files: readonly ConfigurationFile[]): ParseOutcome {
    if (files.some((file) => file.text === "broken")) {
      return { kind: "invalid", problems: [{ message: "broken" }] };
    }
    const failureDomains = this.#options.failureDomains.map((name) => ({
      name: createId<FailureDomainName>(name),
      region: REGION,
      racks: [],
      drainMs: 1_000,
    }));
    const declarations: Declarations = {
      operatorTokenDigests: [],
      organisations: [],
      guarantees: [],
      services: [],
      failureDomains,
    };
    return { kind: "valid", declarations };
  }

  #post(
    from: string,
    incarnation: string,
    to: EntryName | undefined,
    message: MeshMessage,
  ): void {
    for (const [name, node] of this.nodes) {
      if (name === from || (to !== undefined && to !== name)) continue;
      if (this.#cuts.has(`${from}>${name}`)) continue;
      const sender = createId<EntryName>(from);
      node.clock.after(LATENCY_MS, () => {
        node.mesh.heardMs.set(sender, this.clock.nowMs());
        node.mesh.deliveries.next({
          from: sender,
          incarnation: createId<Incarnation>(incarnation),
          message,
        });
      });
    }
  }
}

const STEP_MS = 100;
const SETTLE_MS = 10_000;
