/** What entries ask of each other: calls of the store on behalf of one that cannot reach it. */
import type {
  FollowOutcome,
  StateReadOutcome,
  StateStore,
  TransactOutcome,
} from "@coltsfootpond/ports";
import { pack, unpack } from "msgpackr";

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

export function encodeMessage(message: StoreCall | StoreOutcome): Uint8Array {
  return pack(message);
}

/** Throws on bytes that are no msgpack. */
export function decodeMessage<Message>(bytes: Uint8Array): Message {
  return unpack(bytes) as Message;
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
