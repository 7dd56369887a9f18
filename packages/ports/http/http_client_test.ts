import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { HttpClient, type HttpOutcome } from "./http_client.ts";

const CHUNK = "0123456789";
const GAP_MS = 40;

/** Sends a response in `chunks` parts, then ends it or sends nothing more. */
function createChunkedServer(chunks: number, isEnded: boolean): Server {
  return createServer((incoming, outgoing) => {
    incoming.resume();
    let sent = 0;
    const timer = setInterval(() => {
      if (sent++ < chunks) return void outgoing.write(CHUNK);
      clearInterval(timer);
      if (isEnded) outgoing.end();
    }, GAP_MS);
  });
}

describe("HttpClient", () => {
  const servers: Server[] = [];

  afterEach(() => {
    for (const server of servers.splice(0)) {
      server.closeAllConnections();
      server.close();
    }
  });

  async function get(
    server: Server,
    timing: { readonly timeoutMs: number; readonly totalTimeoutMs?: number },
  ): Promise<HttpOutcome> {
    servers.push(server);
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    const { port } = server.address() as AddressInfo;
    const client = HttpClient.create({ host: "127.0.0.1", port });
    const outcome = await client.exchange({
      method: "GET",
      path: "/",
      ...timing,
    });
    client.close();
    return outcome;
  }

  it("waits for a large response as long as its bytes arrive", async () => {
    const timing = { timeoutMs: 4 * GAP_MS, totalTimeoutMs: 100 * GAP_MS };
    const outcome = await get(createChunkedServer(10, true), timing);
    expect(outcome.kind === "response" && outcome.body.byteLength).to.equal(
      10 * CHUNK.length,
    );
  });

  it("times out when no bytes arrive, or the total time-out has passed", async () => {
    const silent = await get(createChunkedServer(3, false), {
      timeoutMs: 4 * GAP_MS,
      totalTimeoutMs: 1_000 * GAP_MS,
    });
    const endless = await get(createChunkedServer(Infinity, false), {
      timeoutMs: 4 * GAP_MS,
      totalTimeoutMs: 10 * GAP_MS,
    });
    const strict = await get(createChunkedServer(10, true), {
      timeoutMs: 4 * GAP_MS,
    });
    for (const outcome of [silent, endless, strict]) {
      expect(outcome).to.include({ effect: "lost", reason: "timeout" });
    }
  });
});
