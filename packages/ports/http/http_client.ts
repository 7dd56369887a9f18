/**
 * An HTTP client for the platform's services, with time-outs, size limits and keep-alive. Open
 * connections may go silent without a reset while new ones work, and all of them at the same time.
 * So a request that times out replaces the whole pool, not only the connection that it was on.
 */
import type { Buffer } from "node:buffer";
import { Agent, type ClientRequest, request } from "node:http";
import type { Socket } from "node:net";
import { Buffer as NodeBuffer } from "node:buffer";
import { isPort, type JsonValue } from "@coltsfootpond/common";
import { MAXIMUM_RESPONSE_BYTES } from "../constants.ts";
import type { Unavailable, UnavailableEffect } from "../types.ts";
import { refused, unavailable } from "../unavailable.ts";

/** The address on which a service of the platform listens. */
export interface ServiceAddress {
  readonly host: string;
  readonly port: number;
}

/** Counts the bytes sent to and received from a service. */
export interface TrafficMeter {
  addSent(bytes: number): void;
  addReceived(bytes: number): void;
}

/** A connection of an `HttpClient`; no longer writable once either end has closed it. */
export type HttpConnection = Pick<Socket, "writable">;

/** One request. */
export interface HttpClientRequest {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
  /**
   * Bounds the whole exchange, while `timeoutMs` bounds each wait for the next bytes: a large
   * response over a slow link does not time out as long as its bytes arrive. When absent,
   * `timeoutMs` bounds the whole exchange.
   */
  readonly totalTimeoutMs?: number;
  /**
   * Writes the request only to this connection, which must be idle. For clients of one connection:
   * the pool of a larger one may choose another, and the request is then refused.
   */
  readonly connection?: HttpConnection;
  /** Checked right before the request is written, as opening a connection takes time. */
  readonly maySend?: () => boolean;
}

/** A complete response of any status except 503, or why there is none. */
export type HttpOutcome =
  | {
    readonly kind: "response";
    readonly status: number;
    readonly body: Buffer;
    /** The connection over which it arrived. */
    readonly connection: HttpConnection;
  }
  | Unavailable;

const HTTP_UNAVAILABLE = 503;
const MAXIMUM_SOCKETS = 32;
/** Estimated bytes of the request line and headers; bodies are counted exactly. */
const HEADER_BYTES_ESTIMATE = 180;
/** A call with less time left than this may time out although the service is sound. */
export const LEAST_SILENCE_MS = 100;
const CONNECTION_CLOSED = "connection closed";
const NOT_SENT = "not to be sent any more";
/** Errors by which the other end shows that no process serves the connection. */
const CONNECTION_LOSS_CODES: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "ECONNRESET",
  "EPIPE",
]);

function isConnectionLoss(error: Error): boolean {
  const { code } = error as { readonly code?: unknown };
  return typeof code === "string" && CONNECTION_LOSS_CODES.has(code);
}

/** The connections that were opened since the pool was last replaced. */
interface Pool {
  readonly agent: Agent;
  /**
   * Whether one of them has carried an answer. A pool without one is not replaced, so that a service
   * that is away costs no more connections than requests.
   */
  hasAnswered: boolean;
}

function createPool(maxSockets: number): Pool {
  return {
    agent: new Agent({ keepAlive: true, maxSockets }),
    hasAnswered: false,
  };
}

/** A client of one service, with a pool of connections. */
export class HttpClient {
  readonly #address: ServiceAddress;
  readonly #meter: TrafficMeter | undefined;
  readonly #maxSockets: number;
  #pool: Pool;
  /** Replaced pools with requests in progress. */
  #replaced: readonly Pool[] = [];

  private constructor(
    address: ServiceAddress,
    meter: TrafficMeter | undefined,
    maxSockets: number,
  ) {
    this.#address = address;
    this.#meter = meter;
    this.#maxSockets = maxSockets;
    this.#pool = createPool(maxSockets);
  }

  static create(
    address: ServiceAddress,
    meter?: TrafficMeter,
    maxSockets = MAXIMUM_SOCKETS,
  ): HttpClient {
    return new HttpClient(address, meter, maxSockets);
  }

  close(): void {
    for (const { agent } of [this.#pool, ...this.#replaced]) agent.destroy();
    this.#replaced = [];
  }

  /**
   * `refused`: status 503, or nothing was written. Every other failure is `lost`. Never rejects: a
   * request that cannot be made, such as one to a port out of range, is refused as well.
   */
  exchange(clientRequest: HttpClientRequest): Promise<HttpOutcome> {
    const { connection, maySend } = clientRequest;
    // The pool would open another connection for the request.
    if (connection !== undefined && !this.#isIdle(connection)) {
      return Promise.resolve(refused(CONNECTION_CLOSED));
    }
    if (maySend?.() === false) return Promise.resolve(refused(NOT_SENT));
    const body = clientRequest.body ?? new Uint8Array(0);
    const pool = this.#pool;
    const outgoing = this.#open(clientRequest, body.byteLength);
    if ("kind" in outgoing) return Promise.resolve(outgoing);
    this.#meter?.addSent(body.byteLength + HEADER_BYTES_ESTIMATE);
    return new Promise((resolve) => {
      let isWritten = false;
      let hasResponse = false;
      const { timeoutMs, totalTimeoutMs } = clientRequest;
      let isTimedOut = false;
      let isSilent = false;
      const abort = () => {
        isTimedOut = true;
        outgoing.destroy(new Error("timeout"));
      };
      const abortIdle = () => {
        const isIdle = !hasResponse || totalTimeoutMs !== undefined;
        isSilent = isWritten && isIdle && pool.hasAnswered &&
          timeoutMs >= LEAST_SILENCE_MS;
        if (isSilent) this.#replace(pool);
        abort();
      };
      const idleTimer = setTimeout(abortIdle, timeoutMs);
      const totalTimer = totalTimeoutMs === undefined
        ? undefined
        : setTimeout(abort, Math.max(timeoutMs, totalTimeoutMs));
      const restartIdleTimer = (): void => {
        if (totalTimeoutMs !== undefined) idleTimer.refresh();
      };
      const finish = (outcome: HttpOutcome): void => {
        clearTimeout(idleTimer);
        clearTimeout(totalTimer);
        resolve(outcome);
      };
      const write = (): void => {
        if (maySend?.() === false) {
          return void outgoing.destroy(new Error(NOT_SENT));
        }
        isWritten = true;
        outgoing.end(body);
      };
      outgoing.on("socket", (socket) => {
        if (connection !== undefined && socket !== connection) {
          outgoing.destroy(new Error(CONNECTION_CLOSED));
        } else if (socket.connecting) socket.once("connect", write);
        else write();
      });
      const fail = (effect: UnavailableEffect, error: Error): void =>
        finish({
          ...unavailable(effect, error.message),
          ...(!isTimedOut && isConnectionLoss(error)
            ? { isConnectionLost: true }
            : {}),
          ...(isSilent ? { isSilent: true } : {}),
        });
      outgoing.on(
        "error",
        (error) => fail(isWritten ? "lost" : "refused", error),
      );
      // Without a listener, the connection is closed and no other event follows.
      outgoing.on("upgrade", (_, socket) => {
        socket.destroy();
        fail("lost", new Error("the connection was upgraded"));
      });
      outgoing.on("response", (incoming) => {
        const { socket } = incoming;
        hasResponse = true;
        pool.hasAnswered = true;
        const chunks: Buffer[] = [];
        let length = 0;
        incoming.on("data", (chunk: Buffer) => {
          restartIdleTimer();
          chunks.push(chunk);
          length += chunk.byteLength;
          if (length > MAXIMUM_RESPONSE_BYTES) {
            incoming.destroy(new Error("response too large"));
          }
        });
        incoming.on("error", (error) => fail("lost", error));
        incoming.on(
          "aborted",
          () =>
            finish({
              ...unavailable("lost", "response aborted"),
              ...(isTimedOut ? {} : { isConnectionLost: true }),
              ...(isSilent ? { isSilent: true } : {}),
            }),
        );
        incoming.on("end", () => {
          this.#meter?.addReceived(length + HEADER_BYTES_ESTIMATE);
          if (incoming.statusCode === HTTP_UNAVAILABLE) {
            return finish(unavailable("refused", "service unavailable"));
          }
          finish({
            kind: "response",
            status: incoming.statusCode ?? 0,
            body: NodeBuffer.concat(chunks),
            connection: socket,
          });
        });
      });
    });
  }

  /** `node:http` throws on a request that cannot be sent. */
  #open(
    { method, path, headers }: HttpClientRequest,
    bodyBytes: number,
  ): ClientRequest | Unavailable {
    if (!isPort(this.#address.port)) {
      return refused(`${this.#address.port} is not a port`);
    }
    try {
      return request({
        ...this.#address,
        agent: this.#pool.agent,
        method,
        path,
        headers: {
          "content-length": bodyBytes,
          "content-type": "application/json",
          ...headers,
        },
      });
    } catch (error) {
      return refused(`the request cannot be made: ${String(error)}`);
    }
  }

  /**
   * Later requests open new connections. Those that wait for answers may still get them; their
   * connections are closed afterwards, so that they take no place in the new pool.
   */
  #replace(pool: Pool): void {
    if (pool !== this.#pool) return;
    this.#pool = createPool(this.#maxSockets);
    const { agent } = pool;
    agent.maxFreeSockets = 0;
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of [...sockets ?? []]) socket.destroy();
    }
    this.#replaced = [...this.#replaced, pool].filter((known) =>
      Object.keys(known.agent.sockets).length > 0
    );
  }

  #isIdle(connection: HttpConnection): boolean {
    return connection.writable &&
      Object.values(this.#pool.agent.freeSockets).some((sockets) =>
        sockets?.some((socket) => socket === connection)
      );
  }

  /** Posts JSON and parses the JSON response; a status other than 200 is `lost`. */
  async postJson<Answer>(
    path: string,
    content: JsonValue | object,
    timeoutMs: number,
  ): Promise<Answer | Unavailable> {
    const body = NodeBuffer.from(JSON.stringify(content));
    const outcome = await this.exchange({
      method: "POST",
      path,
      body,
      timeoutMs,
    });
    if (outcome.kind === "unavailable") return outcome;
    if (outcome.status !== 200) {
      return unavailable("lost", `status ${outcome.status}`);
    }
    try {
      return JSON.parse(outcome.body.toString("utf8")) as Answer;
    } catch (error) {
      return unavailable("lost", `malformed answer: ${String(error)}`);
    }
  }
}
