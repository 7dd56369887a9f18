/**
 * Serves the interface between entries: runs calls of the store for peers that cannot reach it, and
 * returns this entry's copy of the operators' rows.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "@coltsfootpond/common";
import {
  type HostPort,
  refused,
  type StateRow,
  type StateStore,
} from "@coltsfootpond/ports";
import { BoundedServer } from "../connections/bounded_server.ts";
import type { ConnectionLimits } from "../connections/connection_limits.ts";
import { INTERNAL_TIMEOUTS } from "../connections/connection_pool.ts";
import { BACKGROUND_ACTIVITY } from "./background/activities.ts";
import { guardRequestListener } from "./background/guarded_request_listener.ts";
import { getBoundPort, listenOn } from "./listen.ts";
import type { CellLog } from "./log.ts";
import {
  decodeMessage,
  encodeMessage,
  OPERATOR_ROWS_PATH,
  type OperatorRowsAnswer,
  runStoreCall,
  STORE_CALL_PATH,
  type StoreOutcome,
} from "./peer_messages.ts";
import { readOperatorRowsCall, readStoreCall } from "./peers/message_checks.ts";

const STATUS = {
  OK: 200,
  MALFORMED: 400,
  NOT_FOUND: 404,
  TOO_LARGE: 413,
  FAILED: 500,
};
/** Limit of a transaction of the store (the platform's protocol); its msgpack form is smaller. */
const MAXIMUM_BODY_BYTES = 1_048_576;
const { SERVE_PEER } = BACKGROUND_ACTIVITY;

export interface PeerServerOptions {
  readonly address: HostPort;
  /** Of the connections of peers. */
  readonly limits: ConnectionLimits;
  readonly clock: Clock;
  /** The store over this entry's direct path, so that a call is relayed at most once. */
  readonly store: StateStore;
  /**
   * Whether this entry cannot reach the store either. It then refuses at once, as a call would use
   * up the peer's time and its own copy may be as old as the peer's.
   */
  readonly isStoreDown: () => boolean;
  /** Rows of this entry's copy of the operators' table that are newer than a version. */
  readonly listOperatorRows: (afterVersion: number) => readonly StateRow[];
  readonly log: CellLog;
}

/** Answers peers until closed. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #server: BoundedServer;

  private constructor(options: PeerServerOptions) {
    this.#options = options;
    const { log, limits, clock } = options;
    this.#server = BoundedServer.create({
      limits,
      timeouts: INTERNAL_TIMEOUTS,
      clock,
      listener: guardRequestListener(
        log,
        SERVE_PEER,
        (incoming, response) => this.#serve(incoming, response),
      ),
    });
  }

  static create(options: PeerServerOptions): PeerServer {
    return new PeerServer(options);
  }

  listen(): Promise<void> {
    return listenOn(this.#server.listening, this.#options.address);
  }

  /** The port that the server is bound to. */
  get port(): number {
    return getBoundPort(this.#server.listening);
  }

  close(): void {
    this.#server.close();
  }

  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const outcome = await this.#server.readBody(incoming, MAXIMUM_BODY_BYTES);
    // The connection is closed, so there is nobody to answer.
    if (outcome.kind === "cut_off") return;
    const answer = outcome.kind === "too_long"
      ? { status: STATUS.TOO_LARGE }
      : await this.#answer(incoming.url ?? "", outcome.body);
    response.writeHead(answer.status, {
      "content-length": answer.body?.byteLength ?? 0,
    });
    response.end(answer.body);
  }

  async #answer(
    path: string,
    body: Uint8Array,
  ): Promise<{ readonly status: number; readonly body?: Uint8Array }> {
    if (path !== STORE_CALL_PATH && path !== OPERATOR_ROWS_PATH) {
      return { status: STATUS.NOT_FOUND };
    }
    let message: unknown;
    try {
      message = await decodeMessage(body);
    } catch (error) {
      this.#options.log.warn("peer.malformed", { error: String(error) });
      return { status: STATUS.MALFORMED };
    }
    const run = path === STORE_CALL_PATH
      ? this.#prepareStoreCall(message)
      : this.#prepareListing(message);
    if (run === undefined) {
      this.#options.log.warn("peer.malformed", { error: `no call of ${path}` });
      return { status: STATUS.MALFORMED };
    }
    try {
      const answer = this.#options.isStoreDown()
        ? refused("the peer cannot reach the store")
        : await run();
      return { status: STATUS.OK, body: await encodeMessage(answer) };
    } catch (error) {
      // The call may have taken effect, so the peer must treat it as lost.
      this.#options.log.warn("peer.call_failed", { error: String(error) });
      return { status: STATUS.FAILED };
    }
  }

  /** Undefined for a message that is no call of the store. */
  #prepareStoreCall(
    message: unknown,
  ): (() => Promise<StoreOutcome>) | undefined {
    const call = readStoreCall(message);
    return call && (() => runStoreCall(this.#options.store, call));
  }

  /** Undefined for a message that does not request rows. */
  #prepareListing(message: unknown): (() => OperatorRowsAnswer) | undefined {
    const call = readOperatorRowsCall(message);
    return call &&
      (() => ({ rows: this.#options.listOperatorRows(call.afterVersion) }));
  }
}
