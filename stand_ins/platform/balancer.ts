/**
 * Stand-in for the platform's balancer: forwards TCP connections round robin to the entries that
 * are `live` in the VM list and answer `/readyz` with 200.
 */
import { listenOn } from "../listen.ts";
import { get } from "node:http";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { Clock, Timer, ValueOf } from "@coltsfootpond/common";
import type { VmRecord } from "@coltsfootpond/ports";
import type { VmRegistry } from "./vm_registry.ts";

const CHECK_PERIOD_MS = 200;
const CHECK_TIMEOUT_MS = 500;
const CONNECT_TIMEOUT_MS = 1_000;
/** An entry gets no new connections after this many checks in a row without an answer. */
const MAXIMUM_SILENT_CHECKS = 5;

const CHECK_RESULT = {
  READY: "ready",
  /** The entry answered with another status, or the connection failed. */
  NOT_READY: "not_ready",
  /** No answer within `CHECK_TIMEOUT_MS`. */
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

/** Distributes callers' connections over the entries. */
export class Balancer {
  readonly #vms: VmRegistry;
  readonly #checkTimer: Timer;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #silentChecks = new Map<string, number>();
  #readyEntries: readonly VmRecord[] = [];
  #isChecking = false;
  #nextIndex = 0;

  private constructor(vms: VmRegistry, clock: Clock) {
    this.#vms = vms;
    this.#checkTimer = clock.every(CHECK_PERIOD_MS, () => void this.#check());
    this.#server = createServer(
      { allowHalfOpen: true },
      (caller) => this.#accept(caller),
    );
  }

  static create(vms: VmRegistry, clock: Clock): Balancer {
    return new Balancer(vms, clock);
  }

  /** Resolves with the bound port. */
  listen(host: string, port: number): Promise<number> {
    return listenOn(this.#server, host, port);
  }

  close(): Promise<void> {
    this.#checkTimer.cancel();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      for (const socket of this.#sockets) socket.destroy();
    });
  }

  async #check(): Promise<void> {
    if (this.#isChecking) return;
    this.#isChecking = true;
    const entries = this.#vms.listCurrent()
      .filter((vm) => vm.role === "entry" && vm.state === "live");
    const results = await Promise.all(entries.map(checkEntry));
    this.#readyEntries = entries.filter((entry, index) =>
      this.#remainsReady(entry, results[index] ?? CHECK_RESULT.SILENT)
    );
    this.#isChecking = false;
  }

  /** A ready entry may miss some checks because it is busy; one that was never ready may not. */
  #remainsReady({ name }: VmRecord, result: CheckResult): boolean {
    if (result === CHECK_RESULT.READY) {
      this.#silentChecks.set(name, 0);
      return true;
    }
    const silentChecks = this.#silentChecks.get(name);
    if (result === CHECK_RESULT.NOT_READY || silentChecks === undefined) {
      this.#silentChecks.delete(name);
      return false;
    }
    this.#silentChecks.set(name, silentChecks + 1);
    return silentChecks + 1 < MAXIMUM_SILENT_CHECKS;
  }

  #accept(caller: Socket): void {
    this.#trackSocket(caller);
    this.#connectToNext(caller, this.#readyEntries.length);
  }

  /** Tries the next entry when one does not accept the connection within the timeout. */
  #connectToNext(caller: Socket, remainingTries: number): void {
    const target = this
      .#readyEntries[
        this.#nextIndex++ % Math.max(1, this.#readyEntries.length)
      ];
    if (target === undefined || remainingTries <= 0) {
      caller.destroy();
      return;
    }
    const entry = connect({ host: target.host, port: target.port });
    this.#trackSocket(entry);
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
      else this.#connectToNext(caller, remainingTries - 1);
    });
    caller.once("close", () => entry.destroy());
  }

  #trackSocket(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.#sockets.delete(socket));
  }
}
