import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { expect } from "chai";
import { unavailable } from "../unavailable.ts";
import {
  HttpClient,
  type HttpOutcome,
  LEAST_SILENCE_MS,
} from "./http_client.ts";

const CONNECTIONS = 12;
const TIMEOUT_MS = 1_000;
const SHORT_TIMEOUT_MS = 120;

/** Answers each request after `answerDelayMs`, unless its connection has gone silent. */
class SilencedServer {
  readonly paths: string[] = [];
  connectionCount = 0;
  answerDelayMs = 0;
  readonly #open = new Set<Socket>();
  readonly #silent = new WeakSet<Socket>();
  readonly #server: Server;

  private constructor() {
    this.#server = createServer((incoming, outgoing) => {
      incoming.resume();
      if (this.#silent.has(incoming.socket)) return;
      this.paths.push(incoming.url ?? "");
      setTimeout(() => {
        if (!this.#silent.has(incoming.socket)) outgoing.end("answer");
      }, this.answerDelayMs);
    });
    this.#server.on("connection", (socket: Socket) => {
      this.connectionCount++;
      this.#open.add(socket);
      socket.once("close", () => this.#open.delete(socket));
    });
  }

  static async create(): Promise<SilencedServer> {
    const server = new SilencedServer();
    await new Promise<void>((done) =>
      server.#server.listen(0, "127.0.0.1", done)
    );
    return server;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Nothing passes over the open connections any more, and neither end is told. */
  goSilent(): void {
    for (const socket of this.#open) this.#silent.add(socket);
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}

describe("an HttpClient whose open connections go silent", () => {
  let server: SilencedServer;
  let client: HttpClient;

  beforeEach(async () => {
    server = await SilencedServer.create();
    const address = { host: "127.0.0.1", port: server.port };
    client = HttpClient.create(address, undefined, CONNECTIONS);
  });

  afterEach(() => {
    client.close();
    server.close();
  });

  const get = (timeoutMs: number, path = "/"): Promise<HttpOutcome> =>
    client.exchange({ method: "GET", path, timeoutMs });
  const getMany = (count: number, timeoutMs: number, path = "/") =>
    Promise.all(Array.from({ length: count }, () => get(timeoutMs, path)));

  // Guards against requests that try each silent connection, so that the service seems to be away
  // for as many time-outs as the pool has connections.
  it("uses new ones after the first time-out, each time", async () => {
    await getMany(CONNECTIONS, TIMEOUT_MS);
    for (const round of [1, 2, 3]) {
      server.goSilent();
      expect(await get(SHORT_TIMEOUT_MS)).to.include({ isSilent: true });
      expect(await get(TIMEOUT_MS)).to.include({ status: 200 });
      expect(server.connectionCount).to.equal(CONNECTIONS + round);
    }
  });

  // Guards against new requests that wait in the client for places of silent connections.
  it("has room for new ones while requests wait on all silent ones", async () => {
    await getMany(CONNECTIONS, TIMEOUT_MS);
    server.goSilent();
    const waiting = getMany(CONNECTIONS - 1, TIMEOUT_MS);
    await get(SHORT_TIMEOUT_MS);
    const outcomes = await getMany(CONNECTIONS, SHORT_TIMEOUT_MS);
    for (const outcome of outcomes) expect(outcome.kind).to.equal("response");
    client.close();
    for (const outcome of await waiting) {
      expect(outcome.kind).to.equal("unavailable");
    }
  });

  // Guards against requests that are given up although only another one's answer is late.
  it("still takes late answers, and repeats no request", async () => {
    await get(TIMEOUT_MS);
    server.answerDelayMs = 4 * SHORT_TIMEOUT_MS;
    const late = getMany(3, TIMEOUT_MS, "/late");
    const unanswered = await get(SHORT_TIMEOUT_MS, "/unanswered");
    expect(unanswered).to.include({ effect: "lost", reason: "timeout" });
    for (const outcome of await late) expect(outcome.kind).to.equal("response");
    const expected = ["/", "/late", "/late", "/late", "/unanswered"];
    expect([...server.paths].sort()).to.deep.equal(expected);
  });

  // Guards against a storm of connections to a service that is away or too slow.
  it("opens no more of them than requests while no answer comes", async () => {
    await getMany(CONNECTIONS, TIMEOUT_MS);
    server.answerDelayMs = 10 * TIMEOUT_MS;
    for (let count = 0; count < 5; count++) {
      const [outcome] = await getMany(2, SHORT_TIMEOUT_MS);
      expect(outcome).to.include({ reason: "timeout" });
    }
    expect(server.connectionCount).to.be.at.most(CONNECTIONS + 2 * 4);
  });

  // Guards against a pool that is replaced for each call that is made shortly before its deadline.
  it("are kept after a time-out that is too short for an answer", async () => {
    await getMany(CONNECTIONS, TIMEOUT_MS);
    server.answerDelayMs = LEAST_SILENCE_MS;
    const short = await get(LEAST_SILENCE_MS / 2);
    expect(short).to.deep.equal(unavailable("lost", "timeout"));
    await getMany(CONNECTIONS - 1, TIMEOUT_MS);
    expect(server.connectionCount).to.equal(CONNECTIONS);
  });

  it("names no silence when the first answer of all is late", async () => {
    server.answerDelayMs = 10 * TIMEOUT_MS;
    expect(await get(SHORT_TIMEOUT_MS)).not.to.have.property("isSilent");
  });
});
