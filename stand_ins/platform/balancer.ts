/** The platform's balancer: TCP, round robin over entries that are listed live and answer ready. */
import { get } from "node:http";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { Clock, Timer } from "@coltsfootpond/common";
import type { VmRecord } from "@coltsfootpond/platform";
import type { VmRegistry } from "./vm_list.ts";

const CHECK_PERIOD_MS = 200;
const CHECK_TIMEOUT_MS = 500;
const CONNECT_TIMEOUT_MS = 1_000;

function isReady(vm: VmRecord): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = get({
      host: vm.host,
      port: vm.port,
      path: "/readyz",
      timeout: CHECK_TIMEOUT_MS,
      agent: false,
    }, (incoming) => {
      incoming.resume();
      resolve(incoming.statusCode === 200);
    });
    outgoing.on("timeout", () => outgoing.destroy());
    outgoing.on("error", () => resolve(false));
  });
}

/** Spreads callers' connections over the entries. */
export class Balancer {
  readonly #vms: VmRegistry;
  readonly #checking: Timer;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #ready: readonly VmRecord[] = [];
  #next = 0;

  private constructor(vms: VmRegistry, clock: Clock) {
    this.#vms = vms;
    this.#checking = clock.every(CHECK_PERIOD_MS, () => void this.#check());
    this.#server = createServer(
      { allowHalfOpen: true },
      (caller) => this.#accept(caller),
    );
  }

  static create(vms: VmRegistry, clock: Clock): Balancer {
    return new Balancer(vms, clock);
  }

  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  close(): Promise<void> {
    this.#checking.cancel();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      for (const socket of this.#sockets) socket.destroy();
    });
  }

  async #check(): Promise<void> {
    const entries = this.#vms.listActual()
      .filter((vm) => vm.role === "entry" && vm.state === "live");
    const ready = await Promise.all(entries.map(isReady));
    this.#ready = entries.filter((_, index) => ready[index]);
  }

  #accept(caller: Socket): void {
    this.#track(caller);
    this.#tryNext(caller, this.#ready.length);
  }

  /** Goes on to the next entry when one does not take the connection. */
  #tryNext(caller: Socket, triesLeft: number): void {
    const target = this.#ready[this.#next++ % Math.max(1, this.#ready.length)];
    if (target === undefined || triesLeft <= 0) {
      caller.destroy();
      return;
    }
    const entry = connect({ host: target.host, port: target.port });
    this.#track(entry);
    entry.setTimeout(CONNECT_TIMEOUT_MS, () => entry.destroy());
    let connected = false;
    entry.once("connect", () => {
      connected = true;
      entry.setTimeout(0);
      caller.pipe(entry);
      entry.pipe(caller);
    });
    entry.once("close", () => {
      if (connected) caller.destroy();
      else this.#tryNext(caller, triesLeft - 1);
    });
    caller.once("close", () => entry.destroy());
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.#sockets.delete(socket));
  }
}
