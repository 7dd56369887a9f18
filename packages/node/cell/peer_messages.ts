/** What entries ask of each other: calls of the store on behalf of one that cannot reach it. */
import {
  type FollowOutcome,
  MAXIMUM_RESPONSE_BYTES,
  type StateReadOutcome,
  type StateRow,
  type StateStore,
  type TransactOutcome,
} from "@coltsfootpond/ports";
import { pack, unpack } from "msgpackr";
import { promisify } from "node:util";
import { constants, gunzip, gzip } from "node:zlib";

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

/** Smaller messages are not worth the processor time of compressing them. */
const MINIMUM_COMPRESSED_BYTES = 4_096;
/** First bytes of a gzip stream (RFC 1952); no message in msgpack begins with them. */
const GZIP_MAGIC = [0x1f, 0x8b] as const;

const compress = promisify<Uint8Array, { level: number }, Uint8Array>(gzip);
const expand = promisify<
  Uint8Array,
  { maxOutputLength: number },
  Uint8Array
>(gunzip);

/** msgpack, compressed when large, beside the event loop: declarations repeat themselves. */
export async function encodeMessage(message: PeerMessage): Promise<Uint8Array> {
  const bytes = pack(message);
  return bytes.byteLength < MINIMUM_COMPRESSED_BYTES
    ? bytes
    : await compress(bytes, { level: constants.Z_BEST_SPEED });
}

/** Rejects bytes that are no message. */
export async function decodeMessage<Message>(
  bytes: Uint8Array,
): Promise<Message> {
  const isCompressed = GZIP_MAGIC.every((byte, index) => bytes[index] === byte);
  const expanded = isCompressed
    ? await expand(bytes, { maxOutputLength: MAXIMUM_RESPONSE_BYTES })
    : bytes;
  return unpack(expanded) as Message;
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
