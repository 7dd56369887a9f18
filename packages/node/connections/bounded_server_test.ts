import type { IncomingMessage, ServerResponse } from "node:http";
import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { BoundedServer } from "./bounded_server.ts";
import { listen, RawClient, until } from "./client_fixture_test.ts";
import type { ConnectionLimits } from "./connection_limits.ts";
import type { CloseReason } from "./close_reasons.ts";

const BODY_LIMIT_BYTES = 10_000;
const LIMITS: ConnectionLimits = {
  connections: 100,
  unparsedBytes: 1_048_576,
  bodyBytes: 1_048_576,
};
const TIMEOUTS = { headMs: 3_000, bodyMs: 5_000, idleMs: 10_000 };

interface Served {
  readonly path: string;
  readonly body: string;
  answer(): void;
}

const get = (path: string) => `GET ${path} HTTP/1.1\r\nhost: h\r\n\r\n`;
const postHead = (path: string, header: string) =>
  `POST ${path} HTTP/1.1\r\nhost: h\r\n${header}\r\n\r\n`;

describe("a server with bounded connections", () => {
  let server: BoundedServer;
  let clock: ManualClock;
  let port = 0;
  /** Requests that were read whole, in order; all are answered at once unless `holds` is set. */
  let served: Served[] = [];
  let holds = false;
  let closed: CloseReason[] = [];
  let clients: RawClient[] = [];

  async function serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const outcome = await server.readBody(incoming, BODY_LIMIT_BYTES);
    if (outcome.kind === "cut_off") return;
    const path = incoming.url ?? "";
    const answer = () => {
      response.writeHead(outcome.kind === "whole" ? 200 : 413, {
        "content-length": path.length,
      });
      response.end(path);
    };
    const body = outcome.kind === "whole"
      ? new TextDecoder().decode(outcome.body)
      : "";
    served.push({ path, body, answer });
    if (!holds) answer();
  }

  async function start(limits: Partial<ConnectionLimits> = {}): Promise<void> {
    clock = ManualClock.create();
    server = BoundedServer.create({
      limits: { ...LIMITS, ...limits },
      timeouts: TIMEOUTS,
      clock,
      listener: (incoming, response) => void serve(incoming, response),
      onClosed: (reason) => closed.push(reason),
    });
    port = await listen(server.listening);
  }

  async function open(): Promise<RawClient> {
    const client = await RawClient.connect(port);
    clients.push(client);
    return client;
  }

  beforeEach(() => {
    served = [];
    holds = false;
    closed = [];
    clients = [];
  });

  afterEach(() => {
    clients.forEach(({ socket }) => socket.destroy());
    server.close();
    server.closeAll();
  });

  // Guards against a client that has thousands of requests in progress.
  it("serves one request of a connection at a time, in order", async () => {
    await start();
    holds = true;
    const client = await open();
    const paths = Array.from({ length: 500 }, (_, index) => `/${index}`);
    client.send(paths.map(get).join(""));
    for (const [index, path] of paths.entries()) {
      await until(() => served.length > index);
      expect(server.usage.requestsInProgress).to.equal(1);
      served[index]!.answer();
      await until(() => client.received.endsWith(path));
    }
    expect(served.map(({ path }) => path)).to.deep.equal(paths);
    expect(client.statuses.length).to.equal(500);
  });

  it("reads bodies of any framing", async () => {
    await start();
    const client = await open();
    const chunks = [...'{"a":\r\n\r\n1}'].map((byte) => `1\r\n${byte}\r\n`);
    client.send(
      postHead("/length", "content-length: 8") + "a\r\n\r\nb\r\n" +
        postHead("/chunks", "transfer-encoding: chunked") + chunks.join("") +
        "0\r\nx: y\r\n\r\n" + get("/none") + "\r\n\r\n" + get("/blank"),
    );
    await until(() => served.length === 4);
    expect(served.map(({ path, body }) => [path, body])).to.deep.equal([
      ["/length", "a\r\n\r\nb\r\n"],
      ["/chunks", '{"a":\r\n\r\n1}'],
      ["/none", ""],
      ["/blank", ""],
    ]);
  });

  // Guards against a body that is read without an end.
  it("answers a body that is too long before its end, and closes", async () => {
    await start();
    for (
      const header of [
        "content-length: 999999999",
        "transfer-encoding: chunked",
      ]
    ) {
      const client = await open();
      client.send(postHead("/long", header));
      const chunk = `4000\r\n${" ".repeat(0x4000)}\r\n`;
      while (!client.isClosed) {
        client.send(chunk);
        await new Promise((resolve) => setTimeout(resolve, 1));
      }
      expect(client.statuses).to.deep.equal([413]);
    }
  });

  it("answers a client that has closed its side", async () => {
    await start();
    holds = true;
    const client = await open();
    client.socket.end(get("/half"));
    await until(() => served.length === 1);
    served[0]!.answer();
    await until(() => client.isClosed);
    expect(client.statuses).to.deep.equal([200]);
  });

  // Guards against a crowd of open connections that shuts others out.
  it("closes the connection that has waited longest for its client", async () => {
    await start({ connections: 3 });
    holds = true;
    const silent = await open();
    const busy = await open();
    busy.send(get("/busy"));
    await until(() => served.length === 1);
    const partial = await open();
    partial.send(postHead("/part", "content-length: 2") + "x");
    await until(() => server.usage.bodyBytes > 0);
    const first = await open();
    await until(() => silent.isClosed);
    const second = await open();
    await until(() => partial.isClosed);
    second.send(get("/second"));
    await until(() => served.length === 2);
    first.send(get("/first"));
    await until(() => served.length === 3);
    // All wait for their answers, so none of them goes.
    const third = await open();
    await until(() => third.isClosed);
    served.forEach(({ answer }) => answer());
    await until(() => second.statuses.length === 1);
    expect(busy.statuses).to.deep.equal([200]);
    expect(first.statuses).to.deep.equal([200]);
    expect(closed).to.deep.equal(Array(3).fill("connection_limit"));
  });

  // Guards against bodies that stop short of their end and stay in memory.
  it("closes the connection whose body has arrived for longest", async () => {
    await start({ bodyBytes: 20_000 });
    const header = "content-length: 9000";
    const stalled: RawClient[] = [];
    for (let index = 0; index < 4; index++) {
      const client = await open();
      client.send(postHead("/stalled", header) + "x".repeat(8_999));
      await until(() => server.usage.bodyBytes >= 9_000 * Math.min(2, index));
      stalled.push(client);
      await until(() =>
        stalled.filter(({ isClosed }) => !isClosed).length <= 2
      );
    }
    expect(server.usage.bodyBytes).to.be.at.most(20_000);
    expect(stalled.map(({ isClosed }) => isClosed)).to.deep.equal(
      [true, true, false, false],
    );
    stalled[3]!.send("x");
    await until(() => served.length === 1);
    expect(served[0]!.body.length).to.equal(9_000);
    await until(() => server.usage.requestsInProgress === 1);
    expect(server.usage.bodyBytes).to.be.at.most(9_000);
  });

  // Guards against what clients send ahead while their requests are in progress.
  it("drops what was sent ahead once it holds too much", async () => {
    await start({ unparsedBytes: 200_000 });
    holds = true;
    const ahead = get("/ahead").repeat(2_500);
    const senders: RawClient[] = [];
    for (let index = 0; index < 12; index++) {
      const client = await open();
      client.send(get(`/${index}`) + ahead);
      senders.push(client);
      await until(() => served.length > index);
    }
    expect(server.usage.unparsedBytes).to.be.at.most(200_000);
    const firsts = served.slice(0, 12);
    firsts.forEach(({ answer }) => answer());
    await until(() => senders.every(({ statuses }) => statuses.length === 1));
    await until(() => senders[0]!.isClosed);
    expect(senders[0]!.received).to.contain("onnection: close");
  });

  it("closes connections whose clients do not go on", async () => {
    await start();
    const [idle, head, body] = [await open(), await open(), await open()];
    head.send("GET /");
    body.send(postHead("/", "content-length: 5") + "1");
    await until(() => server.usage.bodyBytes > 0);
    await clock.advance(2_900);
    // A byte now and then does not make the time longer.
    head.send("x");
    await new Promise((resolve) => setTimeout(resolve, 20));
    await clock.advance(2_000);
    await until(() => head.isClosed);
    expect(closed).to.deep.equal(["head_timeout"]);
    await clock.advance(2_000);
    await until(() => body.isClosed);
    expect(closed).to.deep.equal(["head_timeout", "body_timeout"]);
    expect([head.statuses, body.statuses]).to.deep.equal([[408], [408]]);
    head.socket.destroy();
    body.socket.destroy();
    await clock.advance(6_000);
    await until(() => idle.isClosed);
    expect(closed.at(-1)).to.equal("idle");
    expect(server.usage).to.deep.equal({
      connections: 0,
      requestsInProgress: 0,
      unparsedBytes: 0,
      bodyBytes: 0,
    });
  });

  // Guards against an answer that a reset overtakes, as the client has sent more.
  it("delivers the last answer although unread bytes follow", async () => {
    await start();
    const client = await open();
    client.send(
      `GET /last HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n${
        "x".repeat(300_000)
      }`,
    );
    await until(() => client.isClosed);
    expect(client.statuses).to.deep.equal([200]);
  });

  it("answers malformed requests and closes", async () => {
    await start();
    const cases: readonly (readonly [bytes: string, status: number])[] = [
      ["BREW / HTTP/1.1\r\n\r\n", 400],
      [`GET / HTTP/1.1\r\nx: ${"y".repeat(20_000)}\r\n\r\n`, 431],
      [
        postHead("/", "transfer-encoding: chunked") + `1;${"e".repeat(20_000)}`,
        413,
      ],
    ];
    for (const [bytes, status] of cases) {
      const client = await open();
      client.send(bytes);
      await until(() => client.isClosed);
      expect(client.statuses).to.deep.equal([status]);
    }
  });

  it("finishes requests when it is closed, and closes idle connections", async () => {
    await start();
    holds = true;
    const [idle, busy] = [await open(), await open()];
    busy.send(get("/busy"));
    await until(() => served.length === 1);
    server.close();
    await until(() => idle.isClosed);
    served[0]!.answer();
    await until(() => busy.statuses.length === 1);
  });

  // Guards against costs of many connections that one of them could cause.
  it("serves a client beside one that sends ahead without an end", async () => {
    await start();
    const sender = await open();
    const more = () => {
      while (sender.socket.write(get("/ahead").repeat(100)));
    };
    sender.socket.on("drain", more);
    more();
    await until(() => served.length > 10);
    const single = await open();
    const before = served.length;
    single.send(get("/single"));
    await until(() => single.statuses.length === 1);
    const index = served.findIndex(({ path }) => path === "/single");
    expect(index).to.be.at.least(before);
    sender.socket.removeAllListeners("drain");
  });
});
