/**
 * Messages between entries: calls of the store on behalf of a peer that cannot reach it, and
 * requests for a peer's copy of the operators' rows.
 */
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

/** A call of the store with its arguments, as sent to a peer. */
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

/** HTTP paths of the interface between entries. */
export const STORE_CALL_PATH = "/store";
export const OPERATOR_ROWS_PATH = "/operator-rows";

/** Requests those operators' rows of a peer's copy that are newer than `afterVersion`. */
export interface OperatorRowsCall {
  readonly afterVersion: number;
}

export interface OperatorRowsAnswer {
  readonly rows: readonly StateRow[];
}

/** Everything that entries send each other. */
export type PeerMessage =
  | StoreCall
  | StoreOutcome
  | OperatorRowsCall
  | OperatorRowsAnswer;

/** Compressing smaller messages costs more processor time than it saves. */
const MINIMUM_COMPRESSED_BYTES = 4_096;
/** First bytes of a gzip stream (RFC 1952); no message in msgpack begins with them. */
const GZIP_MAGIC = [0x1f, 0x8b] as const;

const compress = promisify<Uint8Array, { level: number }, Uint8Array>(gzip);
const decompress = promisify<
  Uint8Array,
  { maxOutputLength: number },
  Uint8Array
>(gunzip);

/**
 * Encodes in msgpack. Large messages are compressed, as declarations are repetitive; this runs off
 * the event loop.
 */
export async function encodeMessage(message: PeerMessage): Promise<Uint8Array> {
  const bytes = pack(message);
  return bytes.byteLength < MINIMUM_COMPRESSED_BYTES
    ? bytes
    : await compress(bytes, { level: constants.Z_BEST_SPEED });
}

/** Decodes a message of any shape. Rejects malformed bytes. */
export async function decodeMessage(bytes: Uint8Array): Promise<unknown> {
  const isCompressed = GZIP_MAGIC.every((byte, index) => bytes[index] === byte);
  const decompressed = isCompressed
    ? await decompress(bytes, { maxOutputLength: MAXIMUM_RESPONSE_BYTES })
    : bytes;
  return unpack(decompressed);
}

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
