/**
 * Codec of the mesh: messages as msgpack frames, and the handshake's proof of identity, an HMAC
 * over the mesh version, the sender with its incarnation, and the receiver.
 */
import type { EntryName, Incarnation } from "@coltsfootpond/common";
import type { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import { Buffer as NodeBuffer } from "node:buffer";
import { Packr } from "msgpackr";
import { MESH_VERSION } from "../constants.ts";
import { decodeHeartbeat, encodeHeartbeat } from "./compact_heartbeat.ts";
import type { MeshMessage } from "./messages.ts";

const packr = new Packr({ useRecords: false });

/** Sender and receiver of one handshake message, sent in HTTP headers of the WebSocket upgrade. */
export interface MeshHandshake {
  readonly from: EntryName;
  readonly incarnation: Incarnation;
  readonly to: EntryName;
}

export const HANDSHAKE_HEADER = {
  FROM: "x-mesh-from",
  INCARNATION: "x-mesh-incarnation",
  VERSION: "x-mesh-version",
  PROOF: "x-mesh-proof",
} as const;

/**
 * Encodes a heartbeat without its field names to save bytes, since one goes to every peer in each
 * `MESH_HEARTBEAT_PERIOD_MS`.
 */
export function encodeMessage(message: MeshMessage): Buffer {
  const isHeartbeat = message.kind === "heartbeat";
  return packr.pack(isHeartbeat ? encodeHeartbeat(message) : message);
}

/** Throws unless the frame is a msgpack map with a `kind` or a compact heartbeat. */
export function decodeMessage(frame: Uint8Array): MeshMessage {
  const content: unknown = packr.unpack(frame);
  if (Array.isArray(content)) return decodeHeartbeat(content);
  if (typeof content !== "object" || content === null || !("kind" in content)) {
    throw new Error("frame is not a msgpack map with a kind");
  }
  return content as MeshMessage;
}

/** Hex HMAC-SHA-256 of the handshake, keyed with the shared secret of the mesh. */
export function createProof(handshake: MeshHandshake, secret: string): string {
  const text =
    `${MESH_VERSION}|${handshake.from}|${handshake.incarnation}|${handshake.to}`;
  return createHmac("sha256", secret).update(text).digest("hex");
}

/** Compares in constant time. */
export function isProofValid(
  handshake: MeshHandshake,
  secret: string,
  proof: string,
): boolean {
  const expected = NodeBuffer.from(createProof(handshake, secret));
  const given = NodeBuffer.from(proof);
  return expected.byteLength === given.byteLength &&
    timingSafeEqual(expected, given);
}
