/** Tracks the open connections of an HTTP server and the requests in progress on each. */
import type { Socket } from "node:net";

interface ConnectionState {
  /** One for each request in progress; called when the connection closes. */
  readonly closeCallbacks: Set<() => void>;
  /** Bytes received in total when the connection last became idle. */
  idleBytesRead: number;
}

/** Used by `HttpServer`, which on a graceful stop closes only connections without a request. */
export class ConnectionTracker {
  readonly #states = new Map<Socket, ConnectionState>();
  #requestsInProgress = 0;
  #onConnectionClosed: (() => void) | undefined;

  private constructor() {}

  static create(): ConnectionTracker {
    return new ConnectionTracker();
  }

  get count(): number {
    return this.#states.size;
  }

  get requestsInProgress(): number {
    return this.#requestsInProgress;
  }

  add(socket: Socket): void {
    const state: ConnectionState = {
      closeCallbacks: new Set(),
      idleBytesRead: 0,
    };
    this.#states.set(socket, state);
    socket.once("close", () => {
      this.#states.delete(socket);
      this.#requestsInProgress -= state.closeCallbacks.size;
      for (const onClosed of state.closeCallbacks) onClosed();
      this.#notifyClosed();
    });
  }

  /** Calls `onClosed` when the connection closes before `endRequest`. */
  beginRequest(socket: Socket, onClosed: () => void): void {
    const state = this.#states.get(socket);
    if (state === undefined) {
      onClosed();
      return;
    }
    this.#requestsInProgress++;
    state.closeCallbacks.add(onClosed);
  }

  endRequest(socket: Socket, onClosed: () => void): void {
    const state = this.#states.get(socket);
    if (state?.closeCallbacks.delete(onClosed) !== true) return;
    this.#requestsInProgress--;
    state.idleBytesRead = socket.bytesRead;
  }

  /** Closes every connection without a request that is in progress or partly received. */
  closeIdle(): void {
    for (const [socket, state] of this.#states) {
      const partlyReceived = socket.bytesRead > state.idleBytesRead;
      if (state.closeCallbacks.size === 0 && !partlyReceived) socket.destroy();
    }
  }

  closeAll(): void {
    for (const socket of this.#states.keys()) socket.destroy();
  }

  /** Resolves when no connection is open. */
  whenEmpty(): Promise<void> {
    if (this.#states.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onConnectionClosed = () => {
        if (this.#states.size === 0) resolve();
      };
    });
  }

  #notifyClosed(): void {
    this.#onConnectionClosed?.();
  }
}
