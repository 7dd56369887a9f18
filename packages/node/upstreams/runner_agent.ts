/**
 * The keep-alive connections to one runner of an upstream. A connection is reused only below a
 * maximum age, after a short idle time, and when it was opened after the last silent failure, one
 * for which the runner or the connection made no progress in time.
 */
import { Agent, type ClientRequest } from "node:http";
import type { Duplex } from "node:stream";
import type { Clock } from "@coltsfootpond/common";
import {
  CONNECTIONS_PER_RUNNER,
  MAXIMUM_CONNECTION_AGE_MS,
  MAXIMUM_IDLE_MS,
} from "./constants.ts";

interface ConnectionRecord {
  readonly openedMs: number;
  /** Value of `RunnerAgent.#generation` when the connection was opened. */
  readonly generation: number;
  lastActiveMs: number;
}

/** The HTTP agent of one `Runner`. */
export class RunnerAgent extends Agent {
  readonly #clock: Clock;
  readonly #records = new WeakMap<object, ConnectionRecord>();
  /** Rises with each `invalidateConnections`; connections of lower generations are not reused. */
  #generation = 0;

  private constructor(clock: Clock) {
    super({
      keepAlive: true,
      maxSockets: CONNECTIONS_PER_RUNNER,
      maxFreeSockets: CONNECTIONS_PER_RUNNER,
      scheduling: "lifo",
      noDelay: true,
    });
    this.#clock = clock;
  }

  static create(clock: Clock): RunnerAgent {
    return new RunnerAgent(clock);
  }

  /** Called by Node.js when a connection becomes idle; false closes it. */
  override keepSocketAlive(socket: Duplex): boolean {
    const record = this.#getRecord(socket);
    record.lastActiveMs = this.#clock.nowMs();
    return this.#isUsable(record, MAXIMUM_IDLE_MS) &&
      super.keepSocketAlive(socket) as unknown as boolean;
  }

  /** Called when a request gets its connection; a new one is recorded as opened now. */
  recordOpened(request: ClientRequest): void {
    if (request.socket !== null) this.#getRecord(request.socket);
  }

  /** Closes idle connections that may not be reused or were idle for `maximumIdleMs`. */
  prune(maximumIdleMs: number): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) {
        const record = this.#getRecord(socket);
        if (!this.#isUsable(record, maximumIdleMs)) socket.destroy();
      }
    }
  }

  /**
   * Called after a silent failure and when the runner's address changes: no connection opened until
   * now is reused.
   */
  invalidateConnections(): void {
    this.#generation++;
    this.prune(MAXIMUM_IDLE_MS);
  }

  /** Closes idle connections now, and the others when their requests have finished. */
  retire(): void {
    this.invalidateConnections();
  }

  countConnections(): number {
    const count = (pool: NodeJS.ReadOnlyDict<unknown[]>): number =>
      Object.values(pool).reduce(
        (sum, sockets) => sum + (sockets?.length ?? 0),
        0,
      );
    return count(this.sockets) + count(this.freeSockets);
  }

  #getRecord(socket: object): ConnectionRecord {
    let record = this.#records.get(socket);
    if (record === undefined) {
      const nowMs = this.#clock.nowMs();
      const generation = this.#generation;
      record = { openedMs: nowMs, lastActiveMs: nowMs, generation };
      this.#records.set(socket, record);
    }
    return record;
  }

  #isUsable(record: ConnectionRecord, maximumIdleMs: number): boolean {
    const nowMs = this.#clock.nowMs();
    return record.generation === this.#generation &&
      nowMs - record.openedMs < MAXIMUM_CONNECTION_AGE_MS &&
      nowMs - record.lastActiveMs < maximumIdleMs;
  }
}
