/** JSON over HTTP between the demo and the stand-ins or entries. */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import {
  type EntryAddress,
  EntryClient,
  type EntryRequest,
  type EntryResponse,
} from "../../apps/coltsfootpond/entry_client.ts";

const TIMEOUT_MS = 10_000;

/** Client of one server. Throws on a failed exchange and on a status of 400 or more. */
export class JsonClient {
  readonly #client: EntryClient;

  private constructor(address: EntryAddress, token: string | undefined) {
    this.#client = EntryClient.create({
      entries: [address],
      token,
      timeoutMs: TIMEOUT_MS,
      nowMs: () => performance.now(),
    });
  }

  static create(address: EntryAddress, token?: string): JsonClient {
    return new JsonClient(address, token);
  }

  async exchange(request: EntryRequest): Promise<EntryResponse> {
    const outcome = await this.#client.send(request);
    const requestLine = `${request.method} ${request.path}`;
    if (outcome.kind !== "response") {
      throw new Error(`${requestLine}: ${outcome.reason}`);
    }
    const { status, body } = outcome.response;
    if (status >= 400) {
      throw new Error(`${requestLine}: ${status} ${body.toString()}`);
    }
    return outcome.response;
  }

  async get<Content>(path: string): Promise<Content> {
    const { body } = await this.exchange({ method: "GET", path });
    return JSON.parse(body.toString()) as Content;
  }

  async send<Content>(
    method: "POST" | "PUT",
    path: string,
    content: object,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<Content> {
    const { body } = await this.exchange({
      method,
      path,
      headers: { "content-type": "application/json", ...headers },
      body: Buffer.from(JSON.stringify(content)),
    });
    return JSON.parse(body.toString()) as Content;
  }
}
