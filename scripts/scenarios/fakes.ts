/** Fakes at an entry's interfaces: a clock that can be frozen, a gated platform and a mesh. */
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

/** Holds back everything that reaches a frozen or dead process. */
export class SimulatedProcess implements Clock {
  readonly #clock: ManualClock;
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
    for (const act of this.#held.splice(0)) act();
  }

  kill(): void {
    this.#state = "dead";
    this.#held = [];
  }

  /** Runs `act` now, after the thaw, or never. */
  pass(act: () => void): void {
    if (this.#state === "running") act();
    else if (this.#state === "frozen") this.#held.push(act);
  }

  nowMs(): number {
    return this.#clock.nowMs();
  }

  after(delayMs: number, callback: () => void): Timer {
    return this.#clock.after(delayMs, () => this.pass(callback));
  }

  every(periodMs: number, callback: () => void): Timer {
    let isWaiting = false;
    return this.#clock.every(periodMs, () => {
      if (isWaiting) return;
      isWaiting = true;
      this.pass(() => {
        isWaiting = false;
        callback();
      });
    });
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => this.after(delayMs, resolve));
  }

  /** Answers reach the process only while it runs. */
  wrap<Port extends object>(port: Port): Port {
    return new Proxy(port, {
      get: (target, name) => {
        const method: unknown = Reflect.get(target, name);
        if (typeof method !== "function") return method;
        return (...parameters: unknown[]) => {
          if (this.isDead) return new Promise(() => {});
          const answer = Promise.resolve(method.apply(target, parameters));
          return new Promise((resolve) =>
            void answer.then((value) => this.pass(() => resolve(value)))
          );
        };
      },
    });
  }
}

/** Ports of the platform as one process sees them, with a store that can be cut off. */
export function createProcessPorts(
  ports: PlatformPorts,
  gate: SimulatedProcess,
  store: FaultInjector,
): PlatformPorts {
  return {
    table: gate.wrap(FaultyTable.create(ports.table, store)),
    objects: gate.wrap(ports.objects),
    vms: gate.wrap(ports.vms),
    fleet: gate.wrap(ports.fleet),
  };
}

const LINK_LATENCY_MS = 2;

/** One end of the fake mesh. */
export class FakeMesh implements Mesh {
  readonly deliveries = new Subject<MeshDelivery>();
  readonly #network: FakeNetwork;
  readonly #entry: EntryName;
  readonly #incarnation: Incarnation;
  readonly gate: SimulatedProcess;

  private constructor(
    network: FakeNetwork,
    entry: EntryName,
    incarnation: Incarnation,
    gate: SimulatedProcess,
  ) {
    this.#network = network;
    this.#entry = entry;
    this.#incarnation = incarnation;
    this.gate = gate;
  }

  static create(
    network: FakeNetwork,
    entry: EntryName,
    incarnation: Incarnation,
    gate: SimulatedProcess,
  ): FakeMesh {
    return new FakeMesh(network, entry, incarnation, gate);
  }

  send(to: EntryName, message: MeshMessage): void {
    if (this.gate.isDead) return;
    const delivery = {
      from: this.#entry,
      incarnation: this.#incarnation,
      message: structuredClone(message),
    };
    this.#network.carry(this.#entry, to, delivery);
  }

  broadcast(message: MeshMessage): void {
    for (const to of this.listConnected()) this.send(to, message);
  }

  listConnected(): readonly EntryName[] {
    return this.#network.listReachable(this.#entry);
  }
}

/** Carries messages between the ends unless the link is cut or an end is dead. */
export class FakeNetwork {
  readonly #clock: ManualClock;
  readonly #ends = new Map<EntryName, FakeMesh>();
  readonly #cut = new Set<string>();

  private constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  static create(clock: ManualClock): FakeNetwork {
    return new FakeNetwork(clock);
  }

  join(entry: EntryName, end: FakeMesh): void {
    this.#ends.set(entry, end);
  }

  setCut(from: string, to: string, isCut: boolean): void {
    for (const key of [`${from}>${to}`, `${to}>${from}`]) {
      if (isCut) this.#cut.add(key);
      else this.#cut.delete(key);
    }
  }

  listReachable(from: EntryName): readonly EntryName[] {
    return [...this.#ends]
      .filter(([to, end]) =>
        to !== from && !end.gate.isDead && !this.#cut.has(`${from}>${to}`)
      )
      .map(([to]) => brandId<EntryName>(to));
  }

  carry(from: EntryName, to: EntryName, delivery: MeshDelivery): void {
    this.#clock.after(LINK_LATENCY_MS, () => {
      const end = this.#ends.get(to);
      if (end === undefined || this.#cut.has(`${from}>${to}`)) return;
      end.gate.pass(() => end.deliveries.next(delivery));
    });
  }
}
