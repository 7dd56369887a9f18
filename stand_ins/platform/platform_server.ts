/** Serves the platform stand-in over HTTP with the JSON protocol of `packages/ports/http`. */
import { listenOn } from "../listen.ts";
import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type {
  CommandBatch,
  FleetReportRequest,
  TableTransaction,
  Unavailable,
  VmRecord,
} from "@coltsfootpond/ports";
import type { PlatformStandIn } from "./platform_stand_in.ts";
import type { FaultRequest, FleetDeclaration } from "./types.ts";

const MAXIMUM_BODY_BYTES = 64 * 1_048_576;
/** Longer than the timeouts of callers, so that only theirs apply. */
const CALL_OPTIONS = { timeoutMs: 60_000 } as const;
const OBJECT_PATH_PREFIX = "/objects/";

type Answer =
  | { readonly kind: "json"; readonly content: object }
  | { readonly kind: "bytes"; readonly content: Uint8Array }
  | { readonly kind: "absent" }
  | Unavailable;

type JsonHandler = (content: never) => Promise<Answer> | Answer;

function json(content: object): Answer {
  return { kind: "json", content };
}

/** Turns the outcome of a port call into JSON, except `unavailable`, which stays as it is. */
function toAnswer(outcome: { readonly kind: string } | Unavailable): Answer {
  if (outcome.kind === "unavailable") return outcome as Unavailable;
  return json(outcome);
}

async function readBody(incoming: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of incoming as AsyncIterable<Buffer>) {
    length += chunk.byteLength;
    if (length > MAXIMUM_BODY_BYTES) throw new Error("body too large");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function createHandlers(
  platform: PlatformStandIn,
): Readonly<Record<string, JsonHandler>> {
  const { ports, vms, fleet } = platform;
  return {
    "POST /table/transact": async (transaction: TableTransaction) =>
      toAnswer(await ports.table.transact(transaction, CALL_OPTIONS)),
    "POST /table/read": async (request: { readonly keys: string[] }) =>
      toAnswer(await ports.table.read(request.keys, CALL_OPTIONS)),
    "POST /table/scan": async (request: { readonly prefix: string }) =>
      toAnswer(await ports.table.scan(request.prefix, CALL_OPTIONS)),
    "POST /vms/list": async (request: { readonly knownRevision?: string }) =>
      toAnswer(await ports.vms.list({ ...CALL_OPTIONS, ...request })),
    "POST /vms/register": (record: VmRecord) => {
      vms.register(record);
      return json({});
    },
    "POST /vms/leave": (request: { readonly name: string }) => {
      vms.leave(request.name);
      return json({});
    },
    "POST /vms/remove": (request: { readonly name: string }) => {
      vms.remove(request.name);
      return json({});
    },
    "POST /fleet/command": async (batch: CommandBatch) =>
      toAnswer(await ports.fleet.command(batch, CALL_OPTIONS)),
    "POST /fleet/report": async (request: FleetReportRequest) =>
      toAnswer(await ports.fleet.report(request, CALL_OPTIONS)),
    "POST /fleet/workers": (declaration: FleetDeclaration) => {
      fleet.declare(declaration);
      return json({});
    },
    "POST /control/faults": (request: FaultRequest) => {
      platform.changeFaults(request);
      return json({});
    },
    "POST /control/mark": (request: { readonly name: string }) =>
      json(platform.mark(request.name)),
    "GET /control/ledger": () => json(platform.readLedger()),
  };
}

function send(
  response: ServerResponse,
  status: number,
  content: Uint8Array,
): void {
  response.writeHead(status, { "content-length": content.byteLength });
  response.end(content);
}

/** A refused call gets status 503; for a lost answer the connection closes without a response. */
function sendAnswer(response: ServerResponse, answer: Answer): void {
  switch (answer.kind) {
    case "json":
      return send(response, 200, Buffer.from(JSON.stringify(answer.content)));
    case "bytes":
      return send(response, 200, answer.content);
    case "absent":
      return send(response, 404, Buffer.alloc(0));
    case "unavailable":
      if (answer.effect === "refused") {
        return send(response, 503, Buffer.from(answer.reason));
      }
      response.socket?.destroy();
  }
}

/** HTTP server of one platform stand-in. */
export class PlatformServer {
  readonly #platform: PlatformStandIn;
  readonly #handlers: Readonly<Record<string, JsonHandler>>;
  readonly #server: Server;

  private constructor(platform: PlatformStandIn) {
    this.#platform = platform;
    this.#handlers = createHandlers(platform);
    this.#server = createServer((incoming, response) =>
      void this.#serve(incoming, response)
    );
  }

  static create(platform: PlatformStandIn): PlatformServer {
    return new PlatformServer(platform);
  }

  /** Resolves with the bound port. */
  listen(host: string, port: number): Promise<number> {
    return listenOn(this.#server, host, port);
  }

  close(): Promise<void> {
    this.#platform.stop();
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  async #serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const body = await readBody(incoming);
      sendAnswer(response, await this.#answer(incoming, body));
    } catch (error) {
      if (response.headersSent) response.destroy();
      else send(response, 400, Buffer.from(String(error)));
    }
  }

  async #answer(incoming: IncomingMessage, body: Buffer): Promise<Answer> {
    const path = incoming.url ?? "/";
    const method = incoming.method ?? "GET";
    if (path.startsWith(OBJECT_PATH_PREFIX)) {
      const key = decodeURIComponent(path.slice(OBJECT_PATH_PREFIX.length));
      return method === "PUT"
        ? await this.#putObject(key, body)
        : await this.#getObject(key);
    }
    const handler = this.#handlers[`${method} ${path}`];
    if (handler === undefined) return { kind: "absent" };
    const content = body.byteLength === 0 ? {} : JSON.parse(body.toString());
    return await handler(content as never);
  }

  async #putObject(key: string, body: Buffer): Promise<Answer> {
    return toAnswer(
      await this.#platform.ports.objects.put(key, body, CALL_OPTIONS),
    );
  }

  async #getObject(key: string): Promise<Answer> {
    const outcome = await this.#platform.ports.objects.get(key, CALL_OPTIONS);
    if (outcome.kind !== "found") return outcome;
    return { kind: "bytes", content: outcome.content };
  }
}
