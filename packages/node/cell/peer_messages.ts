/** What entries ask of each other: calls of the store on behalf of one that cannot reach it. */
import type {
  FollowOutcome,
  StateReadOutcome,
  StateStore,
  TransactOutcome,
} from "@coltsfootpond/ports";
import { pack, unpack } from "msgpackr";
import { constants, gunzipSync, gzipSync } from "node:zlib";

export type StoreCall =
  | {
    readonly kind: "transact";
    readonly arguments: Parameters<StateStore["transact"]>;
  }
  | {
    readonly kind: "read";
    readonly arguments: Parameters<StateStore["read"]>;
  }
  | {
    readonly kind: "follow";
    readonly arguments: Parameters<StateStore["follow"]>;
  };

export type StoreOutcome = TransactOutcome | StateReadOutcome | FollowOutcome;

/** Path of the entries' own interface. */
export const STORE_CALL_PATH = "/store";

/** A decoded message is refused above this: twice what one answer of the store holds. */
const MAXIMUM_MESSAGE_BYTES = 2 * 1_048_576;
/** Smaller messages are not worth the processor time of compressing them. */
const LEAST_COMPRESSED_BYTES = 4_096;
/** First bytes of a gzip stream (RFC 1952); no message in msgpack begins with them. */
const GZIP_MAGIC = [0x1f, 0x8b] as const;

/** msgpack, compressed when large: a large declared state shrinks to a tenth or less. */
export function encodeMessage(message: StoreCall | StoreOutcome): Uint8Array {
  const bytes = pack(message);
  return bytes.byteLength < LEAST_COMPRESSED_BYTES
    ? bytes
    : gzipSync(bytes, { level: constants.Z_BEST_SPEED });
}

/** Throws on bytes that are no message. */
export function decodeMessage<Message>(bytes: Uint8Array): Message {
  const isCompressed = GZIP_MAGIC.every((byte, index) => bytes[index] === byte);
  return unpack(
    isCompressed
      ? gunzipSync(bytes, { maxOutputLength: MAXIMUM_MESSAGE_BYTES })
      : bytes,
  ) as Message;
}

/** Carries a call out at a store. */
export function runStoreCall(
  store: StateStore,
  call: StoreCall,
): Promise<StoreOutcome> {
  switch (call.kind) {
    case "transact":
      return store.transact(...call.arguments);
    case "read":
      return store.read(...call.arguments);
    case "follow":
      return store.follow(...call.arguments);
  }
}
