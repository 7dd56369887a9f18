/** The open connections of a server and the requests in progress on each. */
import type { Socket } from "node:net";

interface ConnectionState {
  requestsInProgress: number;
  /** Bytes received when the connection last became idle. */
  settledBytes: number;
}

/** Knows which connections may be closed without cutting a request. */
export class Connections {
  readonly #states = new Map<Socket, ConnectionState>();
  #requestsInProgress = 0;
  #onSettled: (() => void) | undefined;

  private constructor() {}

  static create(): Connections {
    return new Connections();
  }

  get count(): number {
    return this.#states.size;
  }

  get requestsInProgress(): number {
    return this.#requestsInProgress;
  }

  opened(socket: Socket): void {
    this.#states.set(socket, { requestsInProgress: 0, settledBytes: 0 });
    socket.once("close", () => {
      this.#states.delete(socket);
      this.#notify();
    });
  }

  requestBegan(socket: Socket): void {
    this.#requestsInProgress++;
    const state = this.#states.get(socket);
    if (state !== undefined) state.requestsInProgress++;
  }

  requestEnded(socket: Socket): void {
    this.#requestsInProgress--;
    const state = this.#states.get(socket);
    if (state !== undefined) {
      state.requestsInProgress--;
      state.settledBytes = socket.bytesRead;
    }
    this.#notify();
  }

  /** Closes every connection with no request in progress and no part of one received. */
  closeIdle(): void {
    for (const [socket, state] of this.#states) {
      const partlyReceived = socket.bytesRead > state.settledBytes;
      if (state.requestsInProgress === 0 && !partlyReceived) socket.destroy();
    }
  }

  closeAll(): void {
    for (const socket of this.#states.keys()) socket.destroy();
  }

  /** Resolves when no connection is left. */
  whenEmpty(): Promise<void> {
    if (this.#states.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onSettled = () => {
        if (this.#states.size === 0) resolve();
      };
    });
  }

  #notify(): void {
    this.#onSettled?.();
  }
}
