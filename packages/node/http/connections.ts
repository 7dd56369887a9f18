/** The open connections of a server and the requests in progress on each. */
import type { Socket } from "node:net";

interface ConnectionState {
  /** What to call for each request in progress when the connection closes. */
  readonly onCut: Set<() => void>;
  /** Bytes received when the connection last became idle. */
  settledBytes: number;
}

/** Knows which connections may be closed without cutting a request. */
export class ConnectionTracker {
  readonly #states = new Map<Socket, ConnectionState>();
  #requestsInProgress = 0;
  #onSettled: (() => void) | undefined;

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

  opened(socket: Socket): void {
    const state: ConnectionState = { onCut: new Set(), settledBytes: 0 };
    this.#states.set(socket, state);
    socket.once("close", () => {
      this.#states.delete(socket);
      this.#requestsInProgress -= state.onCut.size;
      for (const cut of state.onCut) cut();
      this.#notify();
    });
  }

  /** `cut` is called when the connection closes before `requestEnded`. */
  requestBegan(socket: Socket, cut: () => void): void {
    const state = this.#states.get(socket);
    if (state === undefined) {
      cut();
      return;
    }
    this.#requestsInProgress++;
    state.onCut.add(cut);
  }

  requestEnded(socket: Socket, cut: () => void): void {
    const state = this.#states.get(socket);
    if (state?.onCut.delete(cut) !== true) return;
    this.#requestsInProgress--;
    state.settledBytes = socket.bytesRead;
  }

  /** Closes every connection with no request in progress and no part of one received. */
  closeIdle(): void {
    for (const [socket, state] of this.#states) {
      const partlyReceived = socket.bytesRead > state.settledBytes;
      if (state.onCut.size === 0 && !partlyReceived) socket.destroy();
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
