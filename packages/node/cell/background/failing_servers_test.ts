import { SystemClock } from "@coltsfootpond/common";
import type { CallerCodec } from "@coltsfootpond/ports";
import { expect } from "chai";
import { CallerServer } from "../callers/caller_server.ts";
import type { CellLog } from "../log.ts";
import { CellMeters } from "../meters/cell_meters.ts";
import { METRICS_PATH, MetricsServer } from "../meters/metrics_server.ts";
import { PeerServer } from "../peer_server.ts";
import { OPERATOR_ROWS_PATH } from "../peer_messages.ts";
import { createStoreFake } from "../test_fixtures.ts";

const ANY_PORT = { host: "127.0.0.1", port: 0 };

const LIMITS = {
  connections: 100,
  unparsedBytes: 1_048_576,
  bodyBytes: 1_048_576,
};
/** Bytes that cannot be decoded. */
const BODY = Uint8Array.of(0xda);

function fail(): never {
  throw new Error("broken handler");
}

function createRecordingLog() {
  const failed: unknown[] = [];
  const log: CellLog = {
    info: () => {},
    warn: (event, fields) => {
      if (event === "background.failed") failed.push(fields?.activity);
    },
  };
  return { log, failed };
}

/** The status, or undefined when the connection ends without one. */
async function request(
  port: number,
  path: string,
  body?: Uint8Array<ArrayBuffer>,
): Promise<number | undefined> {
  try {
    const method = body === undefined ? "GET" : "POST";
    const url = `http://127.0.0.1:${port}${path}`;
    const signal = AbortSignal.timeout(2_000);
    const response = await fetch(url, { method, body, signal });
    await response.arrayBuffer();
    return response.status;
  } catch {
    return undefined;
  }
}

// Guards against one request that ends the process, with the calls of all callers.
describe("a server with a handler that fails", () => {
  it("answers callers and readiness checks with 500, and serves the next ones", async () => {
    const { log, failed } = createRecordingLog();
    let isBroken = true;
    const head = { method: "submit", path: "/" };
    const server = CallerServer.create({
      address: ANY_PORT,
      readiness: ANY_PORT,
      limits: LIMITS,
      codec: {
        decodeHead: () => isBroken ? fail() : head,
      } as unknown as CallerCodec,
      filters: [{
        name: "test",
        apply: () => Promise.resolve({ status: 200, reason: "test" }),
      }],
      clock: SystemClock.create(),
      log,
      isReady: () => isBroken ? fail() : true,
      meters: { noteCall: () => {}, noteClosedConnection: () => {} },
    });
    await server.listen();
    const { callers, readiness } = server.ports;
    expect(await request(callers, "/a", BODY)).to.equal(500);
    expect(await request(readiness, "/")).to.equal(500);
    expect(failed).to.deep.equal(["serve_caller", "serve_caller"]);
    isBroken = false;
    expect(await request(callers, "/a", BODY)).to.equal(200);
    expect(await request(readiness, "/")).to.equal(200);
    await server.close(100);
  });

  it("answers peers with 500, and serves the next ones", async () => {
    const { log, failed } = createRecordingLog();
    let isBroken = true;
    const server = PeerServer.create({
      address: ANY_PORT,
      limits: LIMITS,
      clock: SystemClock.create(),
      store: createStoreFake(),
      isStoreDown: () => false,
      listOperatorRows: () => [],
      // The handler logs a malformed body.
      log: {
        ...log,
        warn: (event, fields) =>
          event === "peer.malformed" && isBroken
            ? fail()
            : log.warn(event, fields),
      },
    });
    await server.listen();
    expect(await request(server.port, OPERATOR_ROWS_PATH, BODY)).to.equal(500);
    expect(failed).to.deep.equal(["serve_peer"]);
    isBroken = false;
    expect(await request(server.port, OPERATOR_ROWS_PATH, BODY)).to.equal(400);
    server.close();
  });

  it("closes the connection of a scrape whose answer has begun", async () => {
    const { log, failed } = createRecordingLog();
    const meters = CellMeters.create();
    // An answer that cannot be written, after its head was.
    meters.format = () => Promise.resolve(17 as unknown as string);
    const server = MetricsServer.create({
      meters,
      clock: SystemClock.create(),
      log,
    });
    await server.listen(ANY_PORT);
    expect(await request(server.port, METRICS_PATH)).to.equal(undefined);
    expect(failed).to.deep.equal(["serve_metrics"]);
    expect(await request(server.port, "/other")).to.equal(404);
    server.close();
  });
});
