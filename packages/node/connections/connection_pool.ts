/**
 * The open connections of one server within their limits. Where room is short, the connection is
 * closed that has waited longest for its client; one with a whole request never is.
 */
import type { Clock, Timer } from "@coltsfootpond/common";
import {
  type BoundedConnection,
  CONNECTION_PHASE,
  type ConnectionOwner,
} from "./bounded_connection.ts";
import { CLOSE_REASON, type CloseReason } from "./close_reasons.ts";
import type { ConnectionLimits } from "./connection_limits.ts";
import { TurnQueue } from "./turn_queue.ts";

const SWEEP_PERIOD_MS = 1_000;
/** Longer than the time announced to clients, so that their next requests find it open. */
const IDLE_MARGIN_MS = 1_000;
/** After the last answer, for the client to close the connection. */
const LINGER_MS = 2_000;
/** Reads of this size and more are those of clients that send much at a time. */
const LARGE_READ_BYTES = 16_384;

/** How long a connection may wait for its client. */
export interface ConnectionTimeouts {
  readonly headMs: number;
  /** For a body, or for an answer to be read. */
  readonly bodyMs: number;
  readonly idleMs: number;
}

const TIMEOUT_STATUS = "408 Request Timeout";
/** Of servers for peers, checks and scrapes. */
export const INTERNAL_TIMEOUTS: ConnectionTimeouts = {
  headMs: 3_000,
  bodyMs: 5_000,
  idleMs: 5_000,
};

export interface ConnectionPoolOptions {
  readonly limits: ConnectionLimits;
  readonly clock: Clock;
  readonly onClosed: (reason: CloseReason) => void;
}

export interface ConnectionUsage {
  readonly connections: number;
  readonly requestsInProgress: number;
  readonly unparsedBytes: number;
  readonly bodyBytes: number;
}

interface ConnectionState {
  /** Start of the phase. */
  sinceMs: number;
  /** Reserved for the body of the request. */
  bodyBytes: number;
  hasRequest: boolean;
}

export class ConnectionPool implements ConnectionOwner {
  readonly #options: ConnectionPoolOptions;
  readonly #turns = TurnQueue.create();
  /** In the order of the starts of their phases. */
  readonly #states = new Map<BoundedConnection, ConnectionState>();
  /** Connections with large reads that wait for their turn, the oldest first. */
  readonly #largeReads = new Set<BoundedConnection>();
  #timeouts: ConnectionTimeouts;
  #requestsInProgress = 0;
  #unparsedBytes = 0;
  #bodyBytes = 0;
  #sweep: Timer | undefined;

  private constructor(
    options: ConnectionPoolOptions,
    timeouts: ConnectionTimeouts,
  ) {
    this.#options = options;
    this.#timeouts = timeouts;
  }

  static create(
    options: ConnectionPoolOptions,
    timeouts: ConnectionTimeouts,
  ): ConnectionPool {
    return new ConnectionPool(options, timeouts);
  }

  get usage(): ConnectionUsage {
    return {
      connections: this.#states.size,
      requestsInProgress: this.#requestsInProgress,
      unparsedBytes: this.#unparsedBytes,
      bodyBytes: this.#bodyBytes,
    };
  }

  setTimeouts(timeouts: ConnectionTimeouts): void {
    this.#timeouts = timeouts;
  }

  /** Closes another connection if there are too many; the new one if all others are being served. */
  add(connection: BoundedConnection): void {
    this.#states.set(connection, {
      sinceMs: this.#options.clock.nowMs(),
      bodyBytes: 0,
      hasRequest: false,
    });
    this.#sweep ??= this.#options.clock.every(
      SWEEP_PERIOD_MS,
      () => this.#closeOverdue(),
    );
    if (this.#states.size <= this.#options.limits.connections) return;
    const victim = this.#findReplaceable() ?? connection;
    this.#close(victim, CLOSE_REASON.CONNECTION_LIMIT);
  }

  /** The request's head was read. */
  beginRequest(connection: BoundedConnection): void {
    const state = this.#states.get(connection);
    if (state === undefined || state.hasRequest) return;
    state.hasRequest = true;
    this.#requestsInProgress++;
  }

  /**
   * Reserves memory for the body of the connection's request until the request ends. Closes
   * connections whose bodies have arrived for longest if there is too little; false if this one
   * was closed.
   */
  reserveBody(connection: BoundedConnection, bytes: number): boolean {
    const state = this.#states.get(connection);
    if (state === undefined) return false;
    state.bodyBytes += bytes;
    this.#bodyBytes += bytes;
    while (this.#bodyBytes > this.#options.limits.bodyBytes) {
      const victim = this.#findOldestBody() ?? connection;
      this.#close(victim, CLOSE_REASON.BODY_LIMIT);
      if (victim === connection) return false;
    }
    return true;
  }

  /** Closes the connections that have no request, also a partly read one. */
  closeIdle(): void {
    for (const connection of this.#states.keys()) {
      const isIdle = connection.phase === CONNECTION_PHASE.IDLE &&
        connection.unparsedBytes === 0;
      if (isIdle) connection.destroy();
    }
  }

  closeAll(): void {
    for (const connection of this.#states.keys()) connection.destroy();
  }

  requestTurn(connection: BoundedConnection): void {
    this.#turns.add(connection);
  }

  notePhase(connection: BoundedConnection): void {
    const state = this.#states.get(connection);
    if (state === undefined) return;
    state.sinceMs = this.#options.clock.nowMs();
    this.#states.delete(connection);
    this.#states.set(connection, state);
  }

  noteUnparsed(connection: BoundedConnection, changeBytes: number): void {
    this.#unparsedBytes += changeBytes;
    if (connection.unparsedBytes >= LARGE_READ_BYTES) {
      this.#largeReads.add(connection);
    } else {
      this.#largeReads.delete(connection);
    }
    if (changeBytes < 0) return;
    for (const victim of this.#largeReads) {
      if (this.#unparsedBytes <= this.#options.limits.unparsedBytes) return;
      if (victim.phase === CONNECTION_PHASE.SERVING) victim.dropUnparsed();
      else this.#close(victim, CLOSE_REASON.UNPARSED_LIMIT);
    }
  }

  noteRequestEnded(connection: BoundedConnection): void {
    const state = this.#states.get(connection);
    if (state === undefined || !state.hasRequest) return;
    state.hasRequest = false;
    this.#requestsInProgress--;
    this.#bodyBytes -= state.bodyBytes;
    state.bodyBytes = 0;
  }

  noteClosed(connection: BoundedConnection): void {
    this.#turns.delete(connection);
    this.#states.delete(connection);
    if (this.#states.size > 0) return;
    this.#sweep?.cancel();
    this.#sweep = undefined;
  }

  #close(connection: BoundedConnection, reason: CloseReason): void {
    this.#options.onClosed(reason);
    connection.destroy();
  }

  #timeOut(connection: BoundedConnection, reason: CloseReason): void {
    this.#options.onClosed(reason);
    connection.reject(TIMEOUT_STATUS);
  }

  /**
   * The connection that has waited longest for its client. Those that wait for their turn may have a
   * whole request among their bytes, so only those with more than that go, after all others.
   */
  #findReplaceable(): BoundedConnection | undefined {
    for (const connection of this.#states.keys()) {
      const isWaiting = this.#turns.has(connection);
      const isServing = connection.phase === CONNECTION_PHASE.SERVING;
      if (!isWaiting && !isServing) return connection;
    }
    for (const connection of this.#largeReads) {
      if (connection.phase !== CONNECTION_PHASE.SERVING) return connection;
    }
    return undefined;
  }

  #findOldestBody(): BoundedConnection | undefined {
    for (const [connection, { bodyBytes }] of this.#states) {
      if (bodyBytes > 0 && connection.phase === CONNECTION_PHASE.BODY) {
        return connection;
      }
    }
    return undefined;
  }

  #closeOverdue(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const [connection, { sinceMs }] of this.#states) {
      // The client has sent what it waits for.
      if (this.#turns.has(connection)) continue;
      this.#closeIfOverdue(connection, nowMs - sinceMs);
    }
  }

  #closeIfOverdue(connection: BoundedConnection, waitedMs: number): void {
    const { headMs, bodyMs, idleMs } = this.#timeouts;
    switch (connection.phase) {
      case CONNECTION_PHASE.IDLE:
        if (waitedMs > idleMs + IDLE_MARGIN_MS) {
          this.#close(connection, CLOSE_REASON.IDLE);
        }
        return;
      case CONNECTION_PHASE.HEAD:
        if (waitedMs > headMs) {
          this.#timeOut(connection, CLOSE_REASON.HEAD_TIMEOUT);
        }
        return;
      case CONNECTION_PHASE.BODY:
        if (waitedMs > bodyMs) {
          this.#timeOut(connection, CLOSE_REASON.BODY_TIMEOUT);
        }
        return;
      case CONNECTION_PHASE.SERVING:
        return;
      case CONNECTION_PHASE.ANSWERED:
        if (waitedMs > bodyMs) {
          this.#close(connection, CLOSE_REASON.UNREAD_ANSWER);
        }
        return;
      case CONNECTION_PHASE.LINGERING:
        if (waitedMs > LINGER_MS) connection.destroy();
    }
  }
}
