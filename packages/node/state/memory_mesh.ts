/** An in-memory mesh for the test cluster. */
import type { EntryName } from "@coltsfootpond/common";
import { Subject } from "rxjs";
import { MESH_SILENCE_TIMEOUT_MS } from "../constants.ts";
import type { MeshDelivery, MeshMessage } from "../mesh/messages.ts";
import type { Mesh } from "../types.ts";
import type { PausableClock } from "./pausable_clock.ts";

/**
 * The mesh of one entry. It sends through `post`, where an undefined `to` addresses all other
 * entries. The test cluster fills `deliveries` and `receivedMs` with what it delivers to the entry.
 */
export class MemoryMesh implements Mesh {
  readonly deliveries = new Subject<MeshDelivery>();
  /** When the last message of each sender was received. */
  readonly receivedMs = new Map<EntryName, number>();
  readonly #clock: PausableClock;
  readonly #post: (to: EntryName | undefined, message: MeshMessage) => void;

  private constructor(
    clock: PausableClock,
    post: (to: EntryName | undefined, message: MeshMessage) => void,
  ) {
    this.#clock = clock;
    this.#post = post;
  }

  static create(
    clock: PausableClock,
    post: (to: EntryName | undefined, message: MeshMessage) => void,
  ): MemoryMesh {
    return new MemoryMesh(clock, post);
  }

  send(to: EntryName, message: MeshMessage): void {
    this.#post(to, message);
  }

  broadcast(message: MeshMessage): void {
    this.#post(undefined, message);
  }

  listConnected(): readonly EntryName[] {
    const nowMs = this.#clock.nowMs();
    return [...this.receivedMs].filter(([, receivedMs]) =>
      nowMs - receivedMs < MESH_SILENCE_TIMEOUT_MS
    ).map(([entry]) => entry);
  }
}
