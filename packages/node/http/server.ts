/**
 * The entry's HTTP/1.1 server: limits bodies, headers, connections and times, and stops without
 * interrupting requests. Node's strict parser refuses requests with ambiguous framing
 * (`Content-Length` with `Transfer-Encoding`, repeated or malformed lengths, bare line feeds) and
 * their connection is closed, which prevents request smuggling.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import {
  type Clock,
  CodedError,
  type EventSink,
  RESULT,
} from "@coltsfootpond/common";
import type { Authenticate } from "./authenticator.ts";
import { readBody } from "./body.ts";
import { ConnectionTracker } from "./connections.ts";
import { DEFAULT_HTTP_LIMITS, type HttpLimits } from "./limits.ts";
import { createErrorReply, createProblemReply } from "./problem.ts";
import { Router } from "./router.ts";
import {
  ACCESS,
  type HttpExchange,
  type HttpReply,
  type Route,
} from "./types.ts";

export interface HttpServerOptions {
  readonly routes: readonly Route[];
  readonly authenticate: Authenticate;
  readonly limits?: Partial<HttpLimits>;
  readonly clock: Clock;
  readonly events: EventSink;
}

/** The address to listen on; port 0 takes a free port. */
export interface ListenOptions {
  readonly host: string;
  readonly port: number;
}

/** Time limits of a graceful stop. */
export interface StopOptions {
  /** Connections that are still open after this time are closed. */
  readonly timeoutMs: number;
  /** Idle connections stay open for this long, for requests that are already in transit. */
  readonly lingerMs?: number;
}

const CONNECTIONS_CHECK_MS = 500;
const DEFAULT_LINGER_MS = 50;
const OVERLOAD_RETRY_AFTER_MS = 1_000;
const IDLE_CHECK_MS = 20;
const BASE_URL = "http://entry";

function createRawReply(reply: HttpReply): string {
  const lines = [`HTTP/1.1 ${reply.status} Refused`, "connection: close"];
  for (const [name, value] of Object.entries(reply.headers)) {
    lines.push(`${name}: ${value}`);
  }
  lines.push(`content-length: ${reply.body.byteLength}`, "", "");
  return lines.join("\r\n") + new TextDecoder().decode(reply.body);
}

function createTargetError(): CodedError {
  return CodedError.create("MALFORMED", {
    message: "the request target must be a path",
  });
}

function flattenHeaders(incoming: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value !== undefined) headers[name] = String(value);
  }
  return headers;
}

/** Serves a list of routes. An entry has one for callers and operators. */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #limits: HttpLimits;
  readonly #router: Router;
  readonly #connections = ConnectionTracker.create();
  readonly #server: Server;
  #stopping = false;

  private constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#limits = { ...DEFAULT_HTTP_LIMITS, ...options.limits };
    this.#router = Router.create(options.routes);
    this.#server = this.#createServer();
  }

  static create(options: HttpServerOptions): HttpServer {
    return new HttpServer(options);
  }

  get connectionCount(): number {
    return this.#connections.count;
  }

  get requestsInProgress(): number {
    return this.#connections.requestsInProgress;
  }

  /** Resolves with the bound address. */
  listen(options: ListenOptions): Promise<AddressInfo> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(options.port, options.host, () => {
        resolve(this.#server.address() as AddressInfo);
      });
    });
  }

  /**
   * From now on replies carry `Connection: close`. Idle connections close after `lingerMs`.
   * Resolves when the last request has been answered and its connection is closed.
   */
  async stop(options: StopOptions): Promise<void> {
    const { clock } = this.#options;
    this.#stopping = true;
    await clock.sleep(options.lingerMs ?? DEFAULT_LINGER_MS);
    if (this.#server.listening) this.#server.close();
    const idleCheck = clock.every(
      IDLE_CHECK_MS,
      () => this.#connections.closeIdle(),
    );
    const forcedClose = clock.after(
      options.timeoutMs,
      () => this.#connections.closeAll(),
    );
    this.#connections.closeIdle();
    await this.#connections.whenEmpty();
    idleCheck.cancel();
    forcedClose.cancel();
  }

  #createServer(): Server {
    const limits = this.#limits;
    const server = createServer({
      maxHeaderSize: limits.maximumHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      keepAliveTimeout: limits.keepAliveTimeoutMs,
      connectionsCheckingInterval: CONNECTIONS_CHECK_MS,
      insecureHTTPParser: false,
      requireHostHeader: false,
      noDelay: true,
    }, (incoming, outgoing) => void this.#serve(incoming, outgoing));
    server.maxHeadersCount = limits.maximumHeaders;
    server.maxConnections = limits.maximumConnections;
    server.on("connection", (socket: Socket) => {
      this.#connections.add(socket);
      socket.on("error", () => socket.destroy());
    });
    server.on("clientError", (error: Error, socket) => {
      this.#refuseBadFraming(error, socket as Socket);
    });
    server.on("checkExpectation", (_incoming, outgoing: ServerResponse) => {
      outgoing.shouldKeepAlive = false;
      this.#write(outgoing, createProblemReply("MALFORMED"));
    });
    return server;
  }

  #refuseBadFraming(error: Error, socket: Socket): void {
    this.#options.events.emit("http.bad_framing", {}, error.message);
    if (!socket.writable) {
      socket.destroy();
      return;
    }
    socket.end(
      createRawReply(
        createProblemReply("MALFORMED", {
          detail: "the request is not valid HTTP/1.1",
        }),
      ),
      () => socket.destroy(),
    );
  }

  async #serve(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
  ): Promise<void> {
    const { socket } = incoming;
    const abortController = new AbortController();
    const abort = (): void => abortController.abort();
    this.#connections.beginRequest(socket, abort);
    outgoing.once("finish", () => this.#connections.endRequest(socket, abort));
    const reply = await this.#handle(incoming, abortController.signal).catch(
      (error) => {
        if (!(error instanceof CodedError)) {
          this.#options.events.emit("http.internal_error", {
            code: RESULT.INTERNAL.code,
          }, String(error));
        }
        return createErrorReply(error);
      },
    );
    if (!incoming.complete) outgoing.shouldKeepAlive = false;
    this.#write(outgoing, reply);
  }

  async #handle(
    incoming: IncomingMessage,
    signal: AbortSignal,
  ): Promise<HttpReply> {
    const receivedMs = this.#options.clock.nowMs();
    if (
      this.#connections.requestsInProgress >
        this.#limits.maximumRequestsInProgress
    ) {
      throw CodedError.create("OVERLOADED", {
        retryAfterMs: OVERLOAD_RETRY_AFTER_MS,
      });
    }
    if (incoming.headers.host === undefined && incoming.httpVersion !== "1.0") {
      throw CodedError.create("MALFORMED", { message: "Host is missing" });
    }
    const url = this.#parseUrl(incoming.url ?? "");
    const method = incoming.method ?? "";
    const { route, parameters } = this.#router.find(method, url.pathname);
    const organisation = this.#authorise(route, incoming.headers.authorization);
    const body = await readBody(incoming, this.#limits.maximumBodyBytes);
    const exchange: HttpExchange = {
      method,
      path: url.pathname,
      parameters,
      query: url.searchParams,
      headers: flattenHeaders(incoming),
      body,
      receivedMs,
      signal,
      organisation,
    };
    return await route.handle(exchange);
  }

  #parseUrl(target: string): URL {
    if (!target.startsWith("/")) throw createTargetError();
    try {
      return new URL(BASE_URL + target);
    } catch {
      throw createTargetError();
    }
  }

  #authorise(
    route: Route,
    authorization: string | undefined,
  ): HttpExchange["organisation"] {
    if (route.access === ACCESS.PUBLIC) return undefined;
    const caller = this.#options.authenticate(authorization);
    if (caller.kind === "unknown") throw CodedError.create("UNAUTHENTICATED");
    if (caller.kind !== route.access) throw CodedError.create("FORBIDDEN");
    return caller.kind === "organisation" ? caller.organisation : undefined;
  }

  #write(outgoing: ServerResponse, reply: HttpReply): void {
    if (outgoing.destroyed) return;
    if (this.#stopping) outgoing.shouldKeepAlive = false;
    outgoing.writeHead(reply.status, {
      ...reply.headers,
      "content-length": reply.body.byteLength,
    });
    outgoing.end(reply.body);
    if (outgoing.writableFinished) return;
    const slow = this.#options.clock.after(
      this.#limits.slowReaderTimeoutMs,
      () => outgoing.destroy(),
    );
    outgoing.once("close", () => slow.cancel());
  }
}
