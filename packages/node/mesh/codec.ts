/** Encoding and proof of identity on the mesh: msgpack frames and an HMAC over both ends' names. */
import type { EntryName, Incarnation } from "@coltsfootpond/common";
import type { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import { Buffer as NodeBuffer } from "node:buffer";
import { Packr } from "msgpackr";
import { MESH_VERSION } from "../constants.ts";
import { fromCompact, toCompact } from "./compact_heartbeat.ts";
import type { MeshMessage } from "./messages.ts";

const packr = new Packr({ useRecords: false });

/** Who dials whom; sent as headers of the upgrade request. */
export interface MeshHello {
  readonly from: EntryName;
  readonly incarnation: Incarnation;
  readonly to: EntryName;
}

export const HELLO_HEADER = {
  FROM: "x-mesh-from",
  INCARNATION: "x-mesh-incarnation",
  VERSION: "x-mesh-version",
  PROOF: "x-mesh-proof",
} as const;

/** A heartbeat goes out twice a second to every peer, so it travels without its field names. */
export function encodeMessage(message: MeshMessage): Buffer {
  const isHeartbeat = message.kind === "heartbeat";
  return packr.pack(isHeartbeat ? toCompact(message) : message);
}

/** Throws on anything that is neither a msgpack map with a `kind` nor a compact heartbeat. */
export function decodeMessage(frame: Uint8Array): MeshMessage {
  const content: unknown = packr.unpack(frame);
  if (Array.isArray(content)) return fromCompact(content);
  if (typeof content !== "object" || content === null || !("kind" in content)) {
    throw new Error("frame holds no message");
  }
  return content as MeshMessage;
}

/** Hex HMAC-SHA-256 that only a holder of the shared secret can make. */
export function createProof(hello: MeshHello, secret: string): string {
  const text = `${MESH_VERSION}|${hello.from}|${hello.incarnation}|${hello.to}`;
  return createHmac("sha256", secret).update(text).digest("hex");
}

export function isProofValid(
  hello: MeshHello,
  secret: string,
  proof: string,
): boolean {
  const expected = NodeBuffer.from(createProof(hello, secret));
  const given = NodeBuffer.from(proof);
  return expected.byteLength === given.byteLength &&
    timingSafeEqual(expected, given);
}
