/** The platform's balancer: TCP, round robin over entries that are listed live and answer ready. */
import { listenOn } from "../listen.ts";
import { get } from "node:http";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { Clock, Timer, ValueOf } from "@coltsfootpond/common";
import type { VmRecord } from "@coltsfootpond/ports";
import type { VmRegistry } from "./vm_registry.ts";

const CHECK_PERIOD_MS = 200;
const CHECK_TIMEOUT_MS = 500;
const CONNECT_TIMEOUT_MS = 1_000;
/** So many silent checks in a row take an entry out. */
const MAXIMUM_SILENT_CHECKS = 5;

const CHECK_RESULT = {
  READY: "ready",
  /** The entry said so, or takes no connection. */
  NOT_READY: "not_ready",
  SILENT: "silent",
} as const;
type CheckResult = ValueOf<typeof CHECK_RESULT>;

function checkEntry(vm: VmRecord): Promise<CheckResult> {
  return new Promise((resolve) => {
    const outgoing = get({
      host: vm.host,
      port: vm.port,
      path: "/readyz",
      timeout: CHECK_TIMEOUT_MS,
      agent: false,
    }, (incoming) => {
      incoming.resume();
      const ready = incoming.statusCode === 200;
      resolve(ready ? CHECK_RESULT.READY : CHECK_RESULT.NOT_READY);
    });
    outgoing.on("timeout", () => {
      resolve(CHECK_RESULT.SILENT);
      outgoing.destroy();
    });
    outgoing.on("error", () => resolve(CHECK_RESULT.NOT_READY));
  });
}

/** Spreads callers' connections over the entries. */
export class Balancer {
  readonly #vms: VmRegistry;
  readonly #checking: Timer;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #silentChecks = new Map<string, number>();
  #ready: readonly VmRecord[] = [];
  #isChecking = false;
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
    return listenOn(this.#server, host, port);
  }

  close(): Promise<void> {
    this.#checking.cancel();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      for (const socket of this.#sockets) socket.destroy();
    });
  }

  async #check(): Promise<void> {
    if (this.#isChecking) return;
    this.#isChecking = true;
    const entries = this.#vms.listActual()
      .filter((vm) => vm.role === "entry" && vm.state === "live");
    const results = await Promise.all(entries.map(checkEntry));
    this.#ready = entries.filter((entry, index) =>
      this.#staysIn(entry, results[index] ?? CHECK_RESULT.SILENT)
    );
    this.#isChecking = false;
  }

  /** A busy entry may be silent for a while; one that was never ready stays out. */
  #staysIn({ name }: VmRecord, result: CheckResult): boolean {
    if (result === CHECK_RESULT.READY) {
      this.#silentChecks.set(name, 0);
      return true;
    }
    const silent = this.#silentChecks.get(name);
    if (result === CHECK_RESULT.NOT_READY || silent === undefined) {
      this.#silentChecks.delete(name);
      return false;
    }
    this.#silentChecks.set(name, silent + 1);
    return silent + 1 < MAXIMUM_SILENT_CHECKS;
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
