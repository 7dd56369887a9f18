/** Tests of the HTTP server: refusals, framing, limits and graceful stop. */
import { NULL_EVENT_SINK, SystemClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { createHash } from "node:crypto";
import { connect } from "node:net";
import { createAuthenticate } from "./authenticator.ts";
import type { HttpLimits } from "./limits.ts";
import { exchangeRaw } from "./raw_exchange_test.ts";
import { HttpServer } from "./server.ts";
import { ACCESS, type HttpReply, type Route } from "./types.ts";

const clock = SystemClock.create();

function createReply(text: string): HttpReply {
  return { status: 200, headers: {}, body: new TextEncoder().encode(text) };
}

function digest(token: string): never {
  return createHash("sha256").update(token).digest("hex") as never;
}

const authenticate = createAuthenticate({
  configuration: {
    current: () => ({
      declarations: {
        operatorTokenDigests: [digest("operator")],
        organisations: [{ name: "desk", tokenDigest: digest("desk") }],
      },
    }),
  } as never,
  bootstrapOperatorTokenDigests: [],
});

const ROUTES: readonly Route[] = [{
  method: "POST",
  pattern: "/echo/{name}",
  access: ACCESS.PUBLIC,
  handle: async (exchange) => {
    await clock.sleep(Number(exchange.headers["x-sleep-ms"] ?? 0));
    const text = new TextDecoder().decode(exchange.body);
    return createReply(`${exchange.parameters["name"]}=${text}`);
  },
}, {
  method: "GET",
  pattern: "/desk",
  access: ACCESS.ORGANISATION,
  handle: ({ organisation }) =>
    Promise.resolve(createReply(organisation ?? "")),
}, {
  method: "GET",
  pattern: "/operator",
  access: ACCESS.OPERATOR,
  handle: () => Promise.resolve(createReply("operator")),
}, {
  method: "GET",
  pattern: "/broken",
  access: ACCESS.PUBLIC,
  handle: () => Promise.reject(new Error("secret inside")),
}];

function summarise(received: string): string {
  const statuses = [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map((m) => m[1]);
  const codes = [...received.matchAll(/coltsfootpond-code: (\d+)/g)]
    .map((m) => m[1]);
  return `${statuses.join(" ")} [${codes.join(" ")}]`;
}

describe("HttpServer", () => {
  let server: HttpServer;
  let port: number;

  async function start(limits: Partial<HttpLimits> = {}): Promise<void> {
    server = HttpServer.create({
      routes: ROUTES,
      authenticate,
      limits: { maximumBodyBytes: 64, ...limits },
      clock,
      events: NULL_EVENT_SINK,
    });
    port = (await server.listen({ host: "127.0.0.1", port: 0 })).port;
  }

  afterEach(async () => {
    await server.stop({ timeoutMs: 50, lingerMs: 0 });
  });

  it("gives each refusal a result code and hides internal errors", async () => {
    await start();
    const seen: Record<string, unknown> = {};
    const requests: Readonly<Record<string, RequestInit>> = {
      "/nowhere": {},
      "/desk": {},
      "/desk?wrong": { headers: { authorization: "Bearer nobody" } },
      "/desk?operator": { headers: { authorization: "Bearer operator" } },
      "/desk?right": { headers: { authorization: "Bearer desk" } },
      "/operator?desk": { headers: { authorization: "Bearer desk" } },
      "/operator?right": { headers: { authorization: "Bearer operator" } },
      "/echo/a%zz": { method: "POST" },
      "/echo/a": { method: "DELETE" },
      "/echo/a%2Fb": { method: "POST", body: "x" },
      "/echo/long": { method: "POST", body: "x".repeat(65) },
      "/broken": {},
    };
    for (const [path, init] of Object.entries(requests)) {
      const response = await fetch(`http://127.0.0.1:${port}${path}`, init);
      seen[path] = [response.status, await response.text()];
    }
    expect(seen).toMatchSnapshot();
  });

  it("refuses requests with ambiguous framing", async () => {
    await start();
    const head = "POST /echo/a HTTP/1.1\r\nHost: a\r\n";
    const inputs: Readonly<Record<string, string>> = {
      lengthAndChunked:
        `${head}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /desk HTTP/1.1\r\n\r\n`,
      twoLengths: `${head}Content-Length: 1\r\nContent-Length: 2\r\n\r\nab`,
      listedLengths: `${head}Content-Length: 1, 2\r\n\r\nab`,
      signedLength: `${head}Content-Length: +1\r\n\r\na`,
      spacedName: `${head}Content-Length : 1\r\n\r\na`,
      obsoleteFold: `${head}X: a\r\n b\r\nContent-Length: 1\r\n\r\na`,
      unknownCoding: `${head}Transfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n`,
      hiddenCoding: `${head}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`,
      bareLineFeeds: "POST /echo/a HTTP/1.1\nHost: a\nContent-Length: 1\n\na",
      badChunkSize:
        `${head}Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n`,
      longChunks: `${head}Transfer-Encoding: chunked\r\n\r\n41\r\n${
        "x".repeat(65)
      }\r\n0\r\n\r\n`,
      noHost: "GET /broken HTTP/1.1\r\n\r\n",
      absoluteTarget: "GET http://b/desk HTTP/1.1\r\nHost: a\r\n\r\n",
      longHeaders: `${head}X: ${"y".repeat(20_000)}\r\n\r\n`,
      expectation: `${head}Expect: miracles\r\nContent-Length: 1\r\n\r\na`,
    };
    const seen: Record<string, string> = {};
    for (const [name, input] of Object.entries(inputs)) {
      seen[name] = summarise(await exchangeRaw(port, input));
    }
    expect(seen).toMatchSnapshot();
  });

  it("closes a connection whose request was refused before its body was read", async () => {
    await start();
    const head = "POST /echo/a HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n";
    const received = await exchangeRaw(port, `${head}\r\nx`, 5_000);
    expect(received).to.match(/^HTTP\/1\.1 413[^]*connection: close/i);
  });

  it("closes connections that trickle headers or bodies, and those above the limit", async () => {
    await start({
      headersTimeoutMs: 50,
      requestTimeoutMs: 50,
      maximumConnections: 2,
    });
    const trickles = await Promise.all([
      exchangeRaw(port, "POST /echo/a HTTP/1.1\r\nHo", 2_000),
      exchangeRaw(
        port,
        "POST /echo/a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx",
        2_000,
      ),
      exchangeRaw(port, "GET /desk HTTP/1.1\r\nHost: a\r\n\r\n", 2_000),
    ]);
    expect(trickles.map(summarise)).toMatchSnapshot();
    expect(server.connectionCount).to.equal(0);
  });

  it("closes the connection of a caller that does not read its reply", async () => {
    const text = "x".repeat(16 * 1_048_576);
    server = HttpServer.create({
      routes: [{
        method: "GET",
        pattern: "/large",
        access: ACCESS.PUBLIC,
        handle: () => Promise.resolve(createReply(text)),
      }],
      authenticate,
      limits: { slowReaderTimeoutMs: 50 },
      clock,
      events: NULL_EVENT_SINK,
    });
    port = (await server.listen({ host: "127.0.0.1", port: 0 })).port;
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => {});
    socket.write("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    socket.pause();
    for (
      let tries = 0;
      tries < 200 && server.requestsInProgress === 0;
      tries++
    ) {
      await clock.sleep(5);
    }
    for (let tries = 0; tries < 200 && server.requestsInProgress > 0; tries++) {
      await clock.sleep(5);
    }
    expect(server.requestsInProgress).to.equal(0);
    socket.destroy();
  });

  it("finishes requests in progress or partly received when it stops", async () => {
    await start();
    const head = "POST /echo/a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n";
    const slow = exchangeRaw(port, `${head}X-Sleep-Ms: 80\r\n\r\nab`, 2_000);
    const partialBody = connect(port, "127.0.0.1");
    let received = "";
    partialBody.on("data", (chunk) => (received += chunk.toString()));
    partialBody.write(`${head}\r\na`);
    const headers = connect(port, "127.0.0.1");
    let answered = "";
    headers.on("data", (chunk) => (answered += chunk.toString()));
    headers.write(head.slice(0, 30));
    const idle = connect(port, "127.0.0.1");
    await clock.sleep(30);
    const stopped = server.stop({ timeoutMs: 5_000, lingerMs: 0 });
    await clock.sleep(30);
    partialBody.write("b");
    headers.write(`${head.slice(30)}\r\nab`);
    await stopped;
    expect(await slow).to.match(
      /^HTTP\/1\.1 200[^]*connection: close[^]*a=ab$/i,
    );
    expect(received).to.match(/a=ab$/);
    expect(answered).to.match(/a=ab$/);
    expect(server.connectionCount).to.equal(0);
    idle.destroy();
  });
});
