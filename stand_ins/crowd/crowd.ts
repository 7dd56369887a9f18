/**
 * Many connections of clients that do not behave. They read no answers, stay open once they have
 * sent what they have, and connect again some time after they were closed.
 */
import type { Buffer } from "node:buffer";
import { Socket } from "node:net";
import { nextInteger, type Random, SeededRandom } from "@coltsfootpond/common";
import {
  type ClientKind,
  type ClientOptions,
  type ClientPlan,
  createClientPlan,
} from "./client_kinds.ts";

export interface CrowdOptions extends ClientOptions {
  readonly kind: ClientKind;
  readonly host: string;
  readonly port: number;
  readonly connections: number;
  readonly seed: number;
}

/** How many connections were opened, and how many of them were closed since. */
export interface CrowdCounts {
  readonly opened: number;
  readonly closed: number;
}

/** Time over which the first connections are opened. */
const ARRIVAL_MS = 1_000;
/** Delay before a closed connection is opened again. */
const MINIMUM_RECONNECT_MS = 10;
const RECONNECT_SPREAD_MS = 90;
const STAY_MS = 100;

/** Opens its connections once started, until it is stopped. */
export class Crowd {
  readonly #options: CrowdOptions;
  readonly #random: Random;
  readonly #sockets = new Set<Socket>();
  #opened = 0;
  #closed = 0;
  #isStopped = false;

  private constructor(options: CrowdOptions) {
    this.#options = options;
    this.#random = SeededRandom.create(options.seed);
  }

  static create(options: CrowdOptions): Crowd {
    return new Crowd(options);
  }

  get counts(): CrowdCounts {
    return { opened: this.#opened, closed: this.#closed };
  }

  start(): void {
    const { connections } = this.#options;
    for (let index = 0; index < connections; index++) {
      setTimeout(() => this.#open(index), ARRIVAL_MS * index / connections);
    }
  }

  stop(): void {
    this.#isStopped = true;
    for (const socket of this.#sockets) socket.destroy();
  }

  #open(index: number): void {
    if (this.#isStopped) return;
    const { kind, host, port } = this.#options;
    const socket = new Socket();
    this.#sockets.add(socket);
    // A paused socket is not read from, so that answers fill the buffers on the way.
    socket.pause();
    socket.on("error", () => {});
    socket.once("connect", () => {
      this.#opened++;
      this.#send(
        socket,
        createClientPlan(kind, index, this.#options, this.#random),
      );
    });
    socket.once("close", () => {
      this.#closed++;
      this.#sockets.delete(socket);
      const delayMs = MINIMUM_RECONNECT_MS +
        nextInteger(this.#random, RECONNECT_SPREAD_MS);
      setTimeout(() => this.#open(index), delayMs);
    });
    socket.connect(port, host);
  }

  #send(socket: Socket, { parts, leaves }: ClientPlan): void {
    const iterator: Iterator<Buffer> = parts[Symbol.iterator]();
    const sendMore = () => {
      while (!socket.destroyed) {
        const { done, value } = iterator.next();
        if (done) break;
        if (!socket.write(value)) return;
      }
      if (leaves) setTimeout(() => socket.destroy(), STAY_MS);
    };
    socket.on("drain", sendMore);
    sendMore();
  }
}
