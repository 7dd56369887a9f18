import { ManualClock, SystemClock } from "@coltsfootpond/common";
import { createCallerCodec } from "@coltsfootpond/platform";
import { expect } from "chai";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { SILENT_LOG } from "../log.ts";
import { createFollower, createStoreFake } from "../test_fixtures.ts";
import { createCallerFilters } from "./caller_filters.ts";
import { CallerServer } from "./caller_server.ts";
import { JobRepository } from "./job_repository.ts";
import { createRecordDecoder } from "@coltsfootpond/platform";

const HOST = "127.0.0.1";
const JOB_PATH = "/q/00000000000000aa";
const BODY = '{"spec":"s","steps":[{"count":1}]}';
const LIMIT_BYTES = 2_000;
const STATE = createRecordDecoder().decodeDeclaredState(
  new TextEncoder().encode(JSON.stringify({
    version: 1,
    routes: [{
      name: "q",
      service: "s",
      host: "h",
      pathPrefix: "/q/",
      public: true,
    }],
    limits: { maxBodyBytes: LIMIT_BYTES, idleTimeoutMs: -1 },
  })),
);

/** A port on which nothing listens. */
async function findPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** The status of the response to these bytes; undefined if the connection ends without one. */
function send(port: number, bytes: string): Promise<number | undefined> {
  return new Promise((resolve) => {
    const socket = connect(port, HOST, () => socket.write(bytes, "latin1"));
    let text = "";
    const finish = () => {
      socket.destroy();
      const status = /^HTTP\/1\.1 (\d+)/.exec(text)?.[1];
      resolve(status === undefined ? undefined : Number(status));
    };
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      if (text.includes("\r\n\r\n")) finish();
    });
    socket.on("error", finish);
    socket.on("close", finish);
  });
}

const post = (body: string, headers: readonly string[] = [], path = JOB_PATH) =>
  [
    `POST ${path} HTTP/1.1`,
    "Host: h",
    `Content-Length: ${body.length}`,
    ...headers,
    "",
    body,
  ].join("\r\n");
const get = (path: string, headers: readonly string[] = ["Host: h"]) =>
  [`GET ${path} HTTP/1.1`, ...headers, "", ""].join("\r\n");

describe("callers' requests with odd heads or bodies", () => {
  let server: CallerServer;
  let port = 0;

  beforeEach(async () => {
    port = await findPort();
    const clock = ManualClock.create();
    const store = createStoreFake();
    const codec = createCallerCodec();
    server = CallerServer.create({
      address: { host: HOST, port },
      readiness: { host: HOST, port: await findPort() },
      limits: {
        connections: 100,
        unparsedBytes: 1_048_576,
        bodyBytes: 1_048_576,
      },
      codec,
      filters: createCallerFilters({
        codec,
        admission: { check: () => Promise.resolve({ kind: "pass" }) },
        jobRepository: JobRepository.create({
          store,
          follower: createFollower(store, clock),
          clock,
          getStoreDownMs: () => 0,
          nowUnixMs: () => 0,
        }),
        getDeclaredState: () => STATE,
        findTooWide: () => undefined,
        nowUnixMs: () => 0,
        rowLimitBytes: 65_536,
      }),
      clock: SystemClock.create(),
      log: SILENT_LOG,
      isReady: () => true,
      meters: { noteCall: () => {}, noteClosedConnection: () => {} },
    });
    await server.listen();
    const { headerTimeoutMs, keepAliveMs } = STATE!.limits;
    server.setTimeouts(headerTimeoutMs, keepAliveMs);
  });

  afterEach(() => server.close(0));

  // Guards against one request that takes the answers of all others away.
  it("are answered with a status of their own, and the next ones as usual", async () => {
    const requests: readonly (readonly [
      bytes: string,
      statuses: readonly (number | undefined)[],
    ])[] = [
      [post(""), [400]],
      [post("null"), [400]],
      [post("\xff\xfe"), [400]],
      [post("[".repeat(1_000) + "]".repeat(1_000)), [400]],
      [post("x".repeat(LIMIT_BYTES + 1)), [413]],
      [post(BODY, [], "/q/zz"), [404]],
      [post(BODY, [], `${JOB_PATH}\x7f`), [400, 404]],
      [post(BODY, [], "/q/%00"), [404]],
      [post(BODY, ["Deadline-Ms: -1", "Deadline-Ms: 1e400"]), [200]],
      [post(BODY, ["Authorization: Token a", "Authorization: x"]), [200]],
      [post(BODY, ["Host: other"]), [200, 400]],
      [post(BODY, ["Content-Length: 1"]), [400]],
      [post(BODY, ["Transfer-Encoding: chunked"]), [400]],
      [post(BODY, ["X: " + "y".repeat(100_000)]), [431]],
      [post(BODY, ["Expect: odd"]), [417]],
      [post(BODY, ["Upgrade: x", "Connection: upgrade"]), [200]],
      [get("/q/"), [200]],
      [get("/q/", []), [400]],
      [get("http://h/q/"), [404]],
      [get("*"), [400, 404]],
      [get(`${JOB_PATH}?a=\xff`), [200]],
      [get("/q/ffffffffffffffff"), [410]],
      ["BREW / HTTP/1.1\r\n\r\n", [400]],
      ["PUT /q/ HTTP/1.1\r\nHost: h\r\n\r\n", [405]],
      ["CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", [undefined]],
      ["\x16\x03\x01", [400]],
    ];
    for (const [bytes, statuses] of requests) {
      const hint = JSON.stringify(bytes.slice(0, 120));
      expect(await send(port, bytes), hint).to.be.oneOf([...statuses]);
    }
    expect(await send(port, post(BODY))).to.equal(200);
  });

  it("may end before they are whole", async () => {
    for (const length of [0, 1, 20, 60, 70]) {
      const socket = connect(port, HOST);
      await new Promise<void>((resolve) =>
        socket.write(post(BODY).slice(0, length), () => resolve())
      );
      socket.destroy();
    }
    expect(await send(port, post(BODY))).to.equal(200);
  });
});
