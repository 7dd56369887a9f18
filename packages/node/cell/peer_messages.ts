/** What entries ask of each other: calls of the store on behalf of one that cannot reach it. */
import type {
  FollowOutcome,
  StateReadOutcome,
  StateRow,
  StateStore,
  TransactOutcome,
  Unavailable,
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

/** Paths of the entries' own interface: a call of the store, and a peer's copy of operators' rows. */
export const STORE_CALL_PATH = "/store";
export const OPERATOR_ROWS_PATH = "/operator-rows";

/** Asks for the rows of a peer's copy that are newer than a version. */
export interface OperatorRowsCall {
  readonly afterVersion: number;
}

export interface OperatorRowsAnswer {
  readonly rows: readonly StateRow[];
}

export type PeerMessage =
  | StoreCall
  | StoreOutcome
  | OperatorRowsCall
  | OperatorRowsAnswer;

/** A decoded message is refused above this: twice what one answer of the store holds. */
const MAXIMUM_MESSAGE_BYTES = 2 * 1_048_576;
/** Smaller messages are not worth the processor time of compressing them. */
const LEAST_COMPRESSED_BYTES = 4_096;
/** First bytes of a gzip stream (RFC 1952); no message in msgpack begins with them. */
const GZIP_MAGIC = [0x1f, 0x8b] as const;

/** msgpack, compressed when large: a large declared state shrinks to a tenth or less. */
export function encodeMessage(message: PeerMessage): Uint8Array {
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

/** Certainly without effect. */
export function refused(reason: string): Unavailable {
  return { kind: "unavailable", effect: "refused", reason };
}

/** May have taken effect, or still may. */
export function lost(reason: string): Unavailable {
  return { kind: "unavailable", effect: "lost", reason };
}
