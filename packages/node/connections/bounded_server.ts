/**
 * An HTTP/1.1 server whose connections stay within their limits: how many there are, what they hold
 * at each stage of a request, and how long they wait for their clients.
 */
import {
  createServer as createParser,
  type IncomingMessage,
  type Server as HttpParser,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import { createServer, type Server, type Socket } from "node:net";
import type { Clock } from "@coltsfootpond/common";
import { type BodyOutcome, collectBody } from "./body_reader.ts";
import { BoundedConnection } from "./bounded_connection.ts";
import type { ConnectionLimits } from "./connection_limits.ts";
import type { CloseReason } from "./close_reasons.ts";
import {
  ConnectionPool,
  type ConnectionTimeouts,
  type ConnectionUsage,
} from "./connection_pool.ts";

/** Status of a request that the parser rejects, by the code of its error. */
const REJECTED_STATUS: ReadonlyMap<string | undefined, string> = new Map([
  ["HPE_HEADER_OVERFLOW", "431 Request Header Fields Too Large"],
  ["HPE_CHUNK_EXTENSIONS_OVERFLOW", "413 Payload Too Large"],
]);
const MALFORMED_STATUS = "400 Bad Request";

export interface BoundedServerOptions {
  readonly limits: ConnectionLimits;
  readonly timeouts: ConnectionTimeouts;
  readonly clock: Clock;
  readonly listener: (
    incoming: IncomingMessage,
    response: ServerResponse,
  ) => void;
  readonly onClosed?: (reason: CloseReason) => void;
  readonly http?: ServerOptions;
}

export class BoundedServer {
  readonly #pool: ConnectionPool;
  readonly #parser: HttpParser;
  readonly #server: Server;

  private constructor(options: BoundedServerOptions) {
    const { limits, timeouts, clock, listener, onClosed = () => {} } = options;
    this.#pool = ConnectionPool.create({ limits, clock, onClosed }, timeouts);
    // Connections are passed to it; it does not listen itself.
    this.#parser = createParser(
      { ...options.http, requireHostHeader: false },
      (incoming, response) => {
        const connection = getConnection(incoming);
        this.#pool.beginRequest(connection);
        connection.beginRequest(incoming, response);
        listener(incoming, response);
      },
    );
    this.#parser.on("clientError", (error: NodeJS.ErrnoException, socket) => {
      const connection = socket as unknown as BoundedConnection;
      connection.reject(REJECTED_STATUS.get(error.code) ?? MALFORMED_STATUS);
    });
    this.#server = createServer(
      { allowHalfOpen: true, noDelay: true, highWaterMark: 0 },
      (socket) => this.#accept(socket),
    );
    this.#setKeepAlive(timeouts);
  }

  static create(options: BoundedServerOptions): BoundedServer {
    return new BoundedServer(options);
  }

  /** The server that accepts the connections. */
  get listening(): Server {
    return this.#server;
  }

  /** What its connections use at the moment. */
  get usage(): ConnectionUsage {
    return this.#pool.usage;
  }

  setTimeouts(timeouts: ConnectionTimeouts): void {
    this.#pool.setTimeouts(timeouts);
    this.#setKeepAlive(timeouts);
  }

  /** The body of a request within the limits; the connection is closed if it is too long. */
  async readBody(
    incoming: IncomingMessage,
    limitBytes: number,
  ): Promise<BodyOutcome> {
    const connection = getConnection(incoming);
    const outcome = await collectBody(
      incoming,
      limitBytes,
      (bytes) => this.#pool.reserveBody(connection, bytes),
    );
    if (outcome.kind === "too_long") connection.closeAfterAnswer();
    return outcome;
  }

  /** Accepts no new connections and closes those without a request. */
  close(): void {
    this.#server.close();
    this.#pool.closeIdle();
  }

  closeIdle(): void {
    this.#pool.closeIdle();
  }

  closeAll(): void {
    this.#pool.closeAll();
  }

  #accept(socket: Socket): void {
    const connection = BoundedConnection.create(socket, this.#pool);
    this.#pool.add(connection);
    if (!connection.destroyed) this.#parser.emit("connection", connection);
  }

  /** Announced in the answers. */
  #setKeepAlive({ idleMs }: ConnectionTimeouts): void {
    this.#parser.keepAliveTimeout = idleMs;
  }
}

function getConnection(incoming: IncomingMessage): BoundedConnection {
  return incoming.socket as unknown as BoundedConnection;
}
