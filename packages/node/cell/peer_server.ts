/** Serves the entries' own interface: calls of the store for peers that cannot reach it. */
import { Buffer } from "node:buffer";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { HostPort, StateRow, StateStore } from "@coltsfootpond/ports";
import type { CellLog } from "./log.ts";
import {
  decodeMessage,
  encodeMessage,
  OPERATOR_ROWS_PATH,
  type OperatorRowsCall,
  runStoreCall,
  STORE_CALL_PATH,
  type StoreCall,
} from "./peer_messages.ts";

const STATUS = { OK: 200, MALFORMED: 400, NOT_FOUND: 404, TOO_LARGE: 413 };
/** A transaction of the store holds at most this much (the users' protocol), in msgpack less. */
const MAXIMUM_BODY_BYTES = 1_048_576;

export interface PeerServerOptions {
  readonly address: HostPort;
  /** The store as this entry reaches it itself: calls are passed on once. */
  readonly store: StateStore;
  /** Rows of this entry's copy of the operators' table that are newer than a version. */
  readonly listOperatorRows: (afterVersion: number) => readonly StateRow[];
  readonly log: CellLog;
}

/** The server. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: Server;

  private constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#server = createServer(async (incoming, response) => {
      const chunks: Buffer[] = [];
      let length = 0;
      try {
        for await (const chunk of incoming as AsyncIterable<Buffer>) {
          length += chunk.byteLength;
          if (length <= MAXIMUM_BODY_BYTES) chunks.push(chunk);
        }
      } catch {
        // The peer broke off: there is nobody to answer.
        return;
      }
      const answer = length > MAXIMUM_BODY_BYTES
        ? { status: STATUS.TOO_LARGE }
        : await this.#answer(incoming.url ?? "", Buffer.concat(chunks));
      response.writeHead(answer.status, {
        "content-length": answer.body?.byteLength ?? 0,
      });
      response.end(answer.body);
    });
  }

  static create(options: PeerServerOptions): PeerServer {
    return new PeerServer(options);
  }

  listen(): Promise<void> {
    const { host, port } = this.#options.address;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** The port that was bound. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  async #answer(
    path: string,
    body: Uint8Array,
  ): Promise<{ readonly status: number; readonly body?: Uint8Array }> {
    try {
      switch (path) {
        case STORE_CALL_PATH: {
          const call = decodeMessage<StoreCall>(body);
          const outcome = await runStoreCall(this.#options.store, call);
          return { status: STATUS.OK, body: encodeMessage(outcome) };
        }
        case OPERATOR_ROWS_PATH: {
          const { afterVersion } = decodeMessage<OperatorRowsCall>(body);
          const rows = this.#options.listOperatorRows(afterVersion);
          return { status: STATUS.OK, body: encodeMessage({ rows }) };
        }
        default:
          return { status: STATUS.NOT_FOUND };
      }
    } catch (error) {
      this.#options.log.warn("peer.malformed", { error: String(error) });
      return { status: STATUS.MALFORMED };
    }
  }
}
