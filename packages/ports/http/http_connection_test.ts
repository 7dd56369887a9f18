import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import {
  HttpClient,
  type HttpConnection,
  type HttpOutcome,
} from "./http_client.ts";

const TIMEOUT_MS = 500;

/** Time in which both ends notice what became of a connection. */
const settle = () => new Promise((resolve) => setTimeout(resolve, 10));

describe("an HttpClient's request for one connection", () => {
  let server: Server;
  let client: HttpClient;
  let paths: string[];
  let connectionCount: number;

  beforeEach(async () => {
    paths = [];
    connectionCount = 0;
    server = createServer((incoming, outgoing) => {
      paths.push(incoming.url ?? "");
      if (incoming.url !== "/silent") outgoing.end("ok");
    });
    server.on("connection", () => connectionCount++);
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    client = createClient(1);
  });

  afterEach(() => {
    client.close();
    server.closeAllConnections();
    server.close();
  });

  const createClient = (maxSockets: number): HttpClient => {
    const { port } = server.address() as AddressInfo;
    const address = { host: "127.0.0.1", port };
    return HttpClient.create(address, undefined, maxSockets);
  };

  const request = (
    path: string,
    options: {
      readonly connection?: HttpConnection;
      readonly maySend?: () => boolean;
      readonly timeoutMs?: number;
    } = {},
  ): Promise<HttpOutcome> =>
    client.exchange({
      method: "POST",
      path,
      timeoutMs: TIMEOUT_MS,
      ...options,
    });

  const connect = async (): Promise<HttpConnection> => {
    const outcome = await request("/first");
    if (outcome.kind !== "response") throw new Error(outcome.reason);
    return outcome.connection;
  };

  const REFUSED = {
    kind: "unavailable",
    effect: "refused",
    reason: "connection closed",
  };

  it("is written to it while it is open", async () => {
    const connection = await connect();
    const outcome = await request("/second", { connection });
    expect(outcome).to.include({ kind: "response", connection });
    expect(connectionCount).to.equal(1);
  });

  it("is refused, and opens no other, when it has been closed", async () => {
    const connection = await connect();
    server.closeAllConnections();
    await settle();
    expect(await request("/second", { connection })).to.deep.equal(REFUSED);
    await settle();
    expect(paths).to.deep.equal(["/first"]);
    expect(connectionCount).to.equal(1);
  });

  it("is refused after a request over it has timed out", async () => {
    const connection = await connect();
    const silent = await request("/silent", { connection, timeoutMs: 20 });
    expect(silent).to.include({ effect: "lost", reason: "timeout" });
    expect(await request("/second", { connection })).to.deep.equal(REFUSED);
    expect(paths).to.deep.equal(["/first", "/silent"]);
  });

  it("is refused while another request uses it, and does not wait", async () => {
    const connection = await connect();
    const first = request("/silent", { connection, timeoutMs: 20 });
    const second = request("/second", { connection });
    expect(await Promise.race([first, second])).to.deep.equal(REFUSED);
    await first;
    await settle();
    expect(paths).to.deep.equal(["/first", "/silent"]);
    expect(connectionCount).to.equal(1);
  });

  it("is refused when the pool chooses another", async () => {
    client = createClient(2);
    const connections = await Promise.all([connect(), connect()]);
    // The pool chooses the one that was used last.
    const used = await connect();
    const other = connections.find((connection) => connection !== used)!;
    expect(await request("/other", { connection: other })).to.deep.equal(
      REFUSED,
    );
    expect(paths).not.to.include("/other");
    expect(connectionCount).to.equal(2);
  });

  it("is not written when it may not be sent any more", async () => {
    const refused = { effect: "refused", reason: "not to be sent any more" };
    const connection = await connect();
    expect(await request("/second", { connection, maySend: () => false }))
      .to.include(refused);
    expect(await request("/third", { connection })).to.include({
      kind: "response",
    });
    expect(connectionCount).to.equal(1);

    client = createClient(1);
    let checks = 0;
    expect(await request("/fourth", { maySend: () => checks++ === 0 }))
      .to.include(refused);
    expect(checks).to.equal(2);
    expect(paths).to.deep.equal(["/first", "/third"]);
  });
});
