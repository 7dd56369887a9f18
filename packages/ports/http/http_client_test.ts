import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { HttpClient, type HttpOutcome } from "./http_client.ts";

const CHUNK = "0123456789";
const GAP_MS = 40;

/** Sends `chunks` parts of an answer one by one, then ends it or falls silent. */
function createDrippingServer(chunks: number, isEnded: boolean): Server {
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

describe("exchange over http", () => {
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

  it("waits for a large answer as long as it keeps coming", async () => {
    const timing = { timeoutMs: 4 * GAP_MS, totalTimeoutMs: 100 * GAP_MS };
    const outcome = await get(createDrippingServer(10, true), timing);
    expect(outcome.kind === "response" && outcome.body.byteLength).to.equal(
      10 * CHUNK.length,
    );
  });

  it("gives up an answer that falls silent, or takes longer than the longest", async () => {
    const silent = await get(createDrippingServer(3, false), {
      timeoutMs: 4 * GAP_MS,
      totalTimeoutMs: 1_000 * GAP_MS,
    });
    const endless = await get(createDrippingServer(Infinity, false), {
      timeoutMs: 4 * GAP_MS,
      totalTimeoutMs: 10 * GAP_MS,
    });
    const strict = await get(createDrippingServer(10, true), {
      timeoutMs: 4 * GAP_MS,
    });
    for (const outcome of [silent, endless, strict]) {
      expect(outcome).to.include({ effect: "lost", reason: "timeout" });
    }
  });
});
