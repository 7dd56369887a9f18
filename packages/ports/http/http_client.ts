/** One bounded HTTP exchange with the platform over Node's `http`, keep-alive. */
import type { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import { Buffer as NodeBuffer } from "node:buffer";
import type { JsonValue } from "@coltsfootpond/common";
import { MAXIMUM_RESPONSE_BYTES } from "../constants.ts";
import type { Unavailable } from "../types.ts";
import { unavailable } from "../unavailable.ts";

/** Where a service of the platform listens. */
export interface ServiceAddress {
  readonly host: string;
  readonly port: number;
}

/** Counts traffic to the platform. */
export interface TrafficMeter {
  addSent(bytes: number): void;
  addReceived(bytes: number): void;
}

export interface HttpClientRequest {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly body?: Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs: number;
  /**
   * With it, the time-out bounds each wait for the next bytes of the answer, and this the whole
   * exchange: a large answer over a slow link is no failure while it comes.
   */
  readonly totalTimeoutMs?: number;
}

export type HttpOutcome =
  | {
    readonly kind: "response";
    readonly status: number;
    readonly body: Buffer;
  }
  | Unavailable;

const HTTP_UNAVAILABLE = 503;
const MAXIMUM_SOCKETS = 32;
/** Request line and headers, roughly; bodies are counted exactly. */
const HEADER_BYTES_ESTIMATE = 180;

/** A client of one service of the platform. */
export class HttpClient {
  readonly #address: ServiceAddress;
  readonly #meter: TrafficMeter | undefined;
  readonly #agent: Agent;

  private constructor(
    address: ServiceAddress,
    meter: TrafficMeter | undefined,
    maxSockets: number,
  ) {
    this.#address = address;
    this.#meter = meter;
    this.#agent = new Agent({ keepAlive: true, maxSockets });
  }

  static create(
    address: ServiceAddress,
    meter?: TrafficMeter,
    maxSockets = MAXIMUM_SOCKETS,
  ): HttpClient {
    return new HttpClient(address, meter, maxSockets);
  }

  close(): void {
    this.#agent.destroy();
  }

  /** A 503 is `refused`; a failure before the connection stood is `refused`; all else is `lost`. */
  exchange(exchange: HttpClientRequest): Promise<HttpOutcome> {
    const body = exchange.body ?? new Uint8Array(0);
    this.#meter?.addSent(body.byteLength + HEADER_BYTES_ESTIMATE);
    return new Promise((resolve) => {
      let connected = false;
      const outgoing = request({
        ...this.#address,
        agent: this.#agent,
        method: exchange.method,
        path: exchange.path,
        headers: {
          "content-length": body.byteLength,
          "content-type": "application/json",
          ...exchange.headers,
        },
      });
      const { timeoutMs, totalTimeoutMs: longestMs } = exchange;
      const giveUp = () => outgoing.destroy(new Error("timeout"));
      const silence = setTimeout(giveUp, timeoutMs);
      const longest = longestMs === undefined
        ? undefined
        : setTimeout(giveUp, Math.max(timeoutMs, longestMs));
      const noteProgress = (): void => {
        if (longestMs !== undefined) silence.refresh();
      };
      const finish = (outcome: HttpOutcome): void => {
        clearTimeout(silence);
        clearTimeout(longest);
        resolve(outcome);
      };
      outgoing.on("socket", (socket) => {
        if (!socket.connecting) connected = true;
        else socket.once("connect", () => (connected = true));
      });
      outgoing.on(
        "error",
        (error) =>
          finish(unavailable(connected ? "lost" : "refused", error.message)),
      );
      outgoing.on("response", (incoming) => {
        const chunks: Buffer[] = [];
        let length = 0;
        incoming.on("data", (chunk: Buffer) => {
          noteProgress();
          chunks.push(chunk);
          length += chunk.byteLength;
          if (length > MAXIMUM_RESPONSE_BYTES) {
            incoming.destroy(new Error("response too large"));
          }
        });
        incoming.on(
          "error",
          (error) => finish(unavailable("lost", error.message)),
        );
        incoming.on(
          "aborted",
          () => finish(unavailable("lost", "response aborted")),
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
          });
        });
      });
      outgoing.end(body);
    });
  }

  /** Posts JSON and parses a JSON answer; a status other than 200 is `lost` with its text. */
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
