/** One connection to a peer: sends and receives frames and heartbeats, and closes when silent. */
import type {
  Clock,
  EntryName,
  EventSink,
  Incarnation,
  Timer,
} from "@coltsfootpond/common";
import type { RawData, WebSocket } from "ws";
import type { Buffer } from "node:buffer";
import {
  MESH_HEARTBEAT_PERIOD_MS,
  MESH_SILENCE_TIMEOUT_MS,
} from "../constants.ts";
import { decodeMessage, encodeMessage } from "./codec.ts";
import type { MeshMessage } from "./messages.ts";

/**
 * Frames are dropped while more than this is queued: hints are repeated or made up for by reads of
 * rows, and relayed calls time out.
 */
const MAXIMUM_BUFFERED_BYTES = 4 * 1_048_576;
/** Bytes of the WebSocket, TCP and IP headers of one small frame. */
const FRAME_OVERHEAD_BYTES = 46;

/** Counts frames; `bytes` includes the headers of the frame. */
export interface MeshMeter {
  addMeshSent(kind: MeshMessage["kind"], bytes: number): void;
  addMeshReceived(kind: MeshMessage["kind"], bytes: number): void;
}

export interface MeshLinkOptions {
  readonly socket: WebSocket;
  readonly peer: EntryName;
  readonly incarnation: Incarnation;
  readonly clock: Clock;
  readonly events: EventSink;
  readonly meter: MeshMeter | undefined;
  readonly createHeartbeat: () => MeshMessage;
  readonly onMessage: (message: MeshMessage) => void;
  readonly onClosed: () => void;
}

/** Owns one socket. Closes it when nothing was received for `MESH_SILENCE_TIMEOUT_MS`. */
export class MeshLink {
  readonly #options: MeshLinkOptions;
  readonly #timer: Timer;
  #lastReceivedMs: number;
  #closed = false;

  private constructor(options: MeshLinkOptions) {
    this.#options = options;
    this.#lastReceivedMs = options.clock.nowMs();
    this.#timer = options.clock.every(
      MESH_HEARTBEAT_PERIOD_MS,
      () => this.#sendHeartbeat(),
    );
    options.socket.on("message", (data) => this.#receive(data));
    options.socket.on("error", (error) => this.close(error.message));
    options.socket.on("close", () => this.close("closed by peer"));
  }

  static create(options: MeshLinkOptions): MeshLink {
    const link = new MeshLink(options);
    link.send(options.createHeartbeat());
    return link;
  }

  get incarnation(): Incarnation {
    return this.#options.incarnation;
  }

  /** Whether anything was received within the last `MESH_SILENCE_TIMEOUT_MS`. */
  isLive(): boolean {
    return !this.#closed &&
      this.#options.clock.nowMs() - this.#lastReceivedMs <
        MESH_SILENCE_TIMEOUT_MS;
  }

  send(message: MeshMessage): void {
    const { socket, meter } = this.#options;
    if (this.#closed || socket.bufferedAmount > MAXIMUM_BUFFERED_BYTES) return;
    const frame = encodeMessage(message);
    meter?.addMeshSent(
      message.kind,
      frame.byteLength + FRAME_OVERHEAD_BYTES,
    );
    socket.send(frame);
  }

  close(reason: string): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#timer.cancel();
    this.#options.socket.terminate();
    this.#options.events.emit(
      "mesh.closed",
      { entry: this.#options.peer },
      reason,
    );
    this.#options.onClosed();
  }

  #sendHeartbeat(): void {
    const silentMs = this.#options.clock.nowMs() - this.#lastReceivedMs;
    if (silentMs >= MESH_SILENCE_TIMEOUT_MS) return this.close("silent");
    this.send(this.#options.createHeartbeat());
  }

  #receive(data: RawData): void {
    const frame = data as Buffer;
    this.#lastReceivedMs = this.#options.clock.nowMs();
    const message = this.#decode(frame);
    if (message === undefined) return;
    const bytes = frame.byteLength + FRAME_OVERHEAD_BYTES;
    this.#options.meter?.addMeshReceived(message.kind, bytes);
    this.#options.onMessage(message);
  }

  #decode(frame: Buffer): MeshMessage | undefined {
    try {
      return decodeMessage(frame);
    } catch (error) {
      this.close(`malformed frame: ${String(error)}`);
      return undefined;
    }
  }
}
