/** HTTP client of the command-line tool for requests to the entries. */
import { Buffer } from "node:buffer";
import { type IncomingHttpHeaders, request } from "node:http";
import type { ResultClass } from "@coltsfootpond/common";

export interface EntryAddress {
  readonly host: string;
  readonly port: number;
}

export interface EntryRequest {
  readonly method: "GET" | "POST" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array;
}

/** An RFC 9457 problem document of an entry. */
export interface Problem {
  readonly status: number;
  readonly code: number;
  readonly class: ResultClass;
  readonly title: string;
  readonly detail?: string;
}

/** A complete response of any status; times are those of the client's clock. */
export interface EntryResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly sentMs: number;
  readonly receivedMs: number;
}

/**
 * `refused`: no connection was made, so the request had no effect. `lost`: the connection failed or
 * the time-out passed afterwards, so the request may have taken effect.
 */
export type EntryOutcome =
  | { readonly kind: "response"; readonly response: EntryResponse }
  | { readonly kind: "refused"; readonly reason: string }
  | { readonly kind: "lost"; readonly reason: string };

/** The entries in the order they are tried, the bearer token, and the time-out per entry. */
export interface EntryClientOptions {
  readonly entries: readonly EntryAddress[];
  readonly token: string | undefined;
  readonly timeoutMs: number;
  nowMs(): number;
}

const PROBLEM_CONTENT_TYPE = "application/problem+json";
const MAXIMUM_RESPONSE_BYTES = 64 * 1_048_576;

/** Parses `host:port` or `[IPv6]:port`; undefined for any other text. */
export function parseAddress(text: string): EntryAddress | undefined {
  const match = /^(?:\[([0-9a-fA-F:]+)\]|([^:\s]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2];
  return host === undefined ? undefined : { host, port: Number(match?.[3]) };
}

/** The problem document of a response, by its content type; undefined when it has none. */
export function readProblem(response: EntryResponse): Problem | undefined {
  const type = response.headers["content-type"] ?? "";
  if (!type.startsWith(PROBLEM_CONTENT_TYPE)) return undefined;
  return JSON.parse(response.body.toString("utf8")) as Problem;
}

/** Sends each request to the first of its entries that accepts the connection. */
export class EntryClient {
  readonly #options: EntryClientOptions;

  private constructor(options: EntryClientOptions) {
    this.#options = options;
  }

  static create(options: EntryClientOptions): EntryClient {
    return new EntryClient(options);
  }

  get entries(): readonly EntryAddress[] {
    return this.#options.entries;
  }

  /** A client of `entry` alone, with the same token and time-out. */
  withEntry(entry: EntryAddress): EntryClient {
    return EntryClient.create({ ...this.#options, entries: [entry] });
  }

  /** Tries the next entry only while no connection was made, so that no request is sent twice. */
  async send(entryRequest: EntryRequest): Promise<EntryOutcome> {
    let outcome: EntryOutcome = { kind: "refused", reason: "no entry given" };
    for (const entry of this.#options.entries) {
      outcome = await this.#sendTo(entry, entryRequest);
      if (outcome.kind !== "refused") return outcome;
    }
    return outcome;
  }

  #sendTo(
    entry: EntryAddress,
    { method, path, headers, body }: EntryRequest,
  ): Promise<EntryOutcome> {
    const { token, timeoutMs, nowMs } = this.#options;
    const content = body ?? new Uint8Array(0);
    return new Promise((resolve) => {
      const sentMs = nowMs();
      let connected = false;
      const outgoing = request({
        ...entry,
        method,
        path,
        agent: false,
        headers: {
          "content-length": content.byteLength,
          ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
          ...headers,
        },
      });
      const fail = (error: Error): void => {
        clearTimeout(timer);
        const reason = `${entry.host}:${entry.port}: ${error.message}`;
        resolve({ kind: connected ? "lost" : "refused", reason });
      };
      const timer = setTimeout(
        () => outgoing.destroy(new Error("timeout")),
        timeoutMs,
      );
      outgoing.on(
        "socket",
        (socket) => socket.once("connect", () => (connected = true)),
      );
      outgoing.on("error", fail);
      outgoing.on("response", (incoming) => {
        const chunks: Buffer[] = [];
        let length = 0;
        incoming.on("data", (chunk: Buffer) => {
          length += chunk.byteLength;
          chunks.push(chunk);
          if (length > MAXIMUM_RESPONSE_BYTES) {
            incoming.destroy(new Error("response too large"));
          }
        });
        incoming.on("error", fail);
        incoming.on("end", () => {
          clearTimeout(timer);
          resolve({
            kind: "response",
            response: {
              status: incoming.statusCode ?? 0,
              headers: incoming.headers,
              body: Buffer.concat(chunks),
              sentMs,
              receivedMs: nowMs(),
            },
          });
        });
      });
      outgoing.end(content);
    });
  }
}
