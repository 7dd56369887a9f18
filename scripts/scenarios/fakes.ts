/**
 * Fakes of what an entry uses in a scenario: its process with a clock, which can be frozen, the
 * platform's ports and the mesh. `simulated_cluster.ts` connects them.
 */
import {
  brandId,
  type Clock,
  type EntryName,
  type Incarnation,
  type ManualClock,
  type Timer,
} from "@coltsfootpond/common";
import type { Mesh, MeshDelivery, MeshMessage } from "@coltsfootpond/node";
import {
  FaultInjector,
  FaultyTable,
  type PlatformPorts,
} from "@coltsfootpond/ports";
import { Subject } from "rxjs";

/**
 * A simulated process with its clock. Timer callbacks and answers that fall due while it is frozen
 * run after the thaw; once it is dead, they are dropped.
 */
export class SimulatedProcess implements Clock {
  readonly #clock: ManualClock;
  /** Callbacks that fell due since the freeze, in order. */
  #held: (() => void)[] = [];
  #state: "running" | "frozen" | "dead" = "running";

  private constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  static create(clock: ManualClock): SimulatedProcess {
    return new SimulatedProcess(clock);
  }

  get isDead(): boolean {
    return this.#state === "dead";
  }

  freeze(): void {
    this.#state = "frozen";
  }

  thaw(): void {
    this.#state = "running";
    for (const callback of this.#held.splice(0)) callback();
  }

  kill(): void {
    this.#state = "dead";
    this.#held = [];
  }

  /** Runs `callback` now, after the thaw when frozen, or never when dead. */
  dispatch(callback: () => void): void {
    if (this.#state === "running") callback();
    else if (this.#state === "frozen") this.#held.push(callback);
  }

  nowMs(): number {
    return this.#clock.nowMs();
  }

  after(delayMs: number, callback: () => void): Timer {
    return this.#clock.after(delayMs, () => this.dispatch(callback));
  }

  every(periodMs: number, callback: () => void): Timer {
    let isWaiting = false;
    return this.#clock.every(periodMs, () => {
      if (isWaiting) return;
      isWaiting = true;
      this.dispatch(() => {
        isWaiting = false;
        callback();
      });
    });
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.after(delayMs, resolve));
  }

  /** Returns `port` with its answers dispatched to this process. When dead, no call is answered. */
  wrapPort<Port extends object>(port: Port): Port {
    return new Proxy(port, {
      get: (target, name) => {
        const method: unknown = Reflect.get(target, name);
        if (typeof method !== "function") return method;
        return (...callArguments: unknown[]) => {
          if (this.isDead) return new Promise(() => {});
          const answer = Promise.resolve(method.apply(target, callArguments));
          return new Promise((resolve) =>
            void answer.then((value) => this.dispatch(() => resolve(value)))
          );
        };
      },
    });
  }
}

/** The platform's ports of one process; `store` injects faults into its table service calls. */
export function createProcessPorts(
  ports: PlatformPorts,
  process: SimulatedProcess,
  store: FaultInjector,
): PlatformPorts {
  return {
    table: process.wrapPort(FaultyTable.create(ports.table, store)),
    objects: process.wrapPort(ports.objects),
    vms: process.wrapPort(ports.vms),
    fleet: process.wrapPort(ports.fleet),
  };
}

const LINK_DELAY_MS = 2;

/** The mesh of one entry. */
export class FakeMesh implements Mesh {
  readonly deliveries = new Subject<MeshDelivery>();
  readonly #network: FakeNetwork;
  readonly #entry: EntryName;
  readonly #incarnation: Incarnation;
  readonly process: SimulatedProcess;

  private constructor(
    network: FakeNetwork,
    entry: EntryName,
    incarnation: Incarnation,
    process: SimulatedProcess,
  ) {
    this.#network = network;
    this.#entry = entry;
    this.#incarnation = incarnation;
    this.process = process;
  }

  static create(
    network: FakeNetwork,
    entry: EntryName,
    incarnation: Incarnation,
    process: SimulatedProcess,
  ): FakeMesh {
    return new FakeMesh(network, entry, incarnation, process);
  }

  send(to: EntryName, message: MeshMessage): void {
    if (this.process.isDead) return;
    const delivery = {
      from: this.#entry,
      incarnation: this.#incarnation,
      message: structuredClone(message),
    };
    this.#network.deliver(this.#entry, to, delivery);
  }

  broadcast(message: MeshMessage): void {
    for (const to of this.listConnected()) this.send(to, message);
  }

  listConnected(): readonly EntryName[] {
    return this.#network.listReachable(this.#entry);
  }
}

/** Delivers mesh messages after a delay, unless the link is cut or the receiver is dead. */
export class FakeNetwork {
  readonly #clock: ManualClock;
  readonly #meshes = new Map<EntryName, FakeMesh>();
  readonly #cutLinks = new Set<string>();

  private constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  static create(clock: ManualClock): FakeNetwork {
    return new FakeNetwork(clock);
  }

  connect(entry: EntryName, mesh: FakeMesh): void {
    this.#meshes.set(entry, mesh);
  }

  /** Cuts or restores the link between two entries, in both directions. */
  setLinkCut(from: string, to: string, isCut: boolean): void {
    for (const key of [`${from}>${to}`, `${to}>${from}`]) {
      if (isCut) this.#cutLinks.add(key);
      else this.#cutLinks.delete(key);
    }
  }

  listReachable(from: EntryName): readonly EntryName[] {
    return [...this.#meshes]
      .filter(([to, mesh]) =>
        to !== from && !mesh.process.isDead &&
        !this.#cutLinks.has(`${from}>${to}`)
      )
      .map(([to]) => brandId<EntryName>(to));
  }

  deliver(from: EntryName, to: EntryName, delivery: MeshDelivery): void {
    this.#clock.after(LINK_DELAY_MS, () => {
      const mesh = this.#meshes.get(to);
      if (mesh === undefined || this.#cutLinks.has(`${from}>${to}`)) return;
      mesh.process.dispatch(() => mesh.deliveries.next(delivery));
    });
  }
}
