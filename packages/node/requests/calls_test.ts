/** Promise scenarios of calls over loopback sockets against runner stand-ins. */
import { createRunnerOutput, RUNNER_FAULT } from "@coltsfootpond/stand-ins";
import { expect } from "chai";
import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import {
  countExecutions,
  send,
  sleep,
  STRICT,
  until,
} from "./caller_fixture_test.ts";
import { createDeclarations, RequestFixture, SERVICE } from "./fixture_test.ts";

describe("calls", () => {
  let world: RequestFixture;
  let extraServers: Server[];

  beforeEach(() => {
    world = new RequestFixture();
    extraServers = [];
  });

  afterEach(async () => {
    await world.close();
    for (const server of extraServers) server.close();
  });

  /** A runner that answers with raw bytes; `{id}` stands for the attempt id. */
  async function addRawRunner(reply: string): Promise<void> {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.on("data", (chunk) => {
        const id = /x-attempt-id: (\w+)/i.exec(chunk.toString())?.[1] ?? "";
        socket.end(reply.replace("{id}", id));
      });
    });
    extraServers.push(server);
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    const { port } = server.address() as AddressInfo;
    const name = `raw-${port}`;
    world.vms.push({
      name,
      role: "runner",
      state: "live",
      host: "127.0.0.1",
      port,
      service: SERVICE,
    });
  }

  it("answers a call whole with the answer to its own request", async () => {
    await world.addRunner();
    const port = await world.addEntry();
    const replies = await Promise.all(
      Array.from({ length: 20 }, (_, index) =>
        send({
          port,
          body: `body ${index}`,
          headers: { "idempotency-key": `call-${index}` },
        })),
    );
    for (const [index, reply] of replies.entries()) {
      const expected = createRunnerOutput(
        `call-${index}`,
        new TextEncoder().encode(`body ${index}`),
      );
      expect(reply).to.include({ status: 200, code: "1000", body: expected });
    }
  });

  it("says what it can prove of each failure of a runner, and runs a strict call once", async () => {
    const seen: Record<string, unknown> = {};
    for (const fault of Object.values(RUNNER_FAULT)) {
      const own = new RequestFixture();
      await own.addRunner({ fault });
      const port = await own.addEntry();
      const headers = { ...STRICT, "idempotency-key": "strict" };
      const first = await send({ port, headers });
      const again = await send({ port, headers });
      const executions = countExecutions(own);
      await own.close();
      expect(executions).to.be.at.most(1);
      seen[fault] = {
        first: [first.code, first.resultClass],
        again: [again.code, again.resultClass],
        executions,
      };
    }
    expect(seen).toMatchSnapshot();
  });

  it("passes on no reply that is cut, unframed, foreign or out of protocol", async () => {
    const replies = {
      cut:
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\ncontent-length: 9\r\n\r\nhalf",
      cutChunk:
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      unframed: "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\n\r\nanything",
      foreign:
        "HTTP/1.1 200 OK\r\nx-attempt-id: 0\r\ncontent-length: 2\r\n\r\nok",
      foreignRefusal:
        "HTTP/1.1 503 No\r\nx-attempt-id: 0\r\nx-not-run: true\r\ncontent-length: 0\r\n\r\n",
      bareRefusal:
        "HTTP/1.1 503 No\r\nx-attempt-id: {id}\r\ncontent-length: 0\r\n\r\n",
      noProtocol: "hello\r\n\r\n",
      nothing: "",
    };
    const seen: Record<string, unknown> = {};
    for (const [name, reply] of Object.entries(replies)) {
      world.vms = [];
      await addRawRunner(reply);
      const port = await world.addEntry();
      const { code, resultClass } = await send({ port, headers: STRICT });
      seen[name] = [code, resultClass];
    }
    expect(seen).toMatchSnapshot();
  });

  it("answers idempotent calls although runners are silent, cut, crossed or gone", async () => {
    for (const fault of ["silent", "truncate", "cross", "reset"] as const) {
      await world.addRunner({ fault });
    }
    for (let count = 0; count < 8; count++) await world.addRunner();
    const gone = await world.addRunner();
    await gone.close();
    const port = await world.addEntry();
    const replies = await Promise.all(
      Array.from({ length: 40 }, () => send({ port })),
    );
    expect(replies.filter(({ status }) => status !== 200)).to.deep.equal([]);
  });

  it("calls an idempotent request unknown when one of its attempts may have run", async () => {
    await world.addRunner({ fault: "crash" });
    await world.addRunner({ fault: "refuse" });
    const port = await world.addEntry();
    for (let count = 0; count < 8; count++) {
      const { resultClass } = await send({
        port,
        headers: { "idempotency-key": `k${count}` },
      });
      const ran = countExecutions(world, `k${count}`) > 0;
      expect(resultClass).to.equal(ran ? "unknown" : "not_run");
    }
  });

  it("leaves silent connections behind and suspects their siblings", async () => {
    const runner = await world.addRunner();
    const port = await world.addEntry();
    await Promise.all(Array.from({ length: 6 }, () => send({ port })));
    const before = world.fronts[0]!.describe().runners[0]!;
    expect(before.connections).to.be.above(1);
    runner.setFault("silent");
    await send({ port, headers: STRICT });
    await sleep(5);
    expect(world.fronts[0]!.describe().runners[0]!.connections).to.equal(0);
    runner.setFault("none");
    expect((await send({ port })).status).to.equal(200);
  });

  it("gives a leaving runner nothing new and lets it finish what it has", async () => {
    world.declarations = createDeclarations({ progressTimeoutMs: 2_000 });
    const leaving = await world.addRunner({ serviceMs: 700 });
    const port = await world.addEntry();
    const running = send({ port, headers: STRICT });
    await until(() => leaving.slotsInUse === 1);
    world.vms = world.vms.map((vm) => ({ ...vm, state: "leaving" }));
    const staying = await world.addRunner();
    await until(() =>
      world.fronts[0]!.describe().runners.some(({ leaving }) => leaving)
    );
    const replies = await Promise.all(
      Array.from({ length: 9 }, () => send({ port })),
    );
    expect(replies.filter(({ status }) => status !== 200)).to.deep.equal([]);
    expect(leaving.ledger.getCounts().executions).to.equal(1);
    expect(staying.ledger.getCounts().executions).to.equal(9);
    expect((await running).status).to.equal(200);
  });

  it("believes a runner that says itself that it leaves", async () => {
    const runner = await world.addRunner();
    runner.setLeaving(true);
    const port = await world.addEntry();
    expect((await send({ port })).status).to.equal(200);
    expect((await send({ port })).code).to.equal("3006");
  });

  it("starts no call in a failure domain that is out", async () => {
    await world.addRunner();
    const port = await world.addEntry();
    world.domainState = "out";
    expect(await send({ port })).to.include({
      code: "3006",
      resultClass: "not_run",
      retryAfter: "1",
    });
    expect(countExecutions(world)).to.equal(0);
  });

  it("never gives a full runner more than its slots through several entries", async () => {
    const runner = await world.addRunner({ slots: 8, serviceMs: 20 });
    world.entryNames = ["entry-0", "entry-1", "entry-2"] as never[];
    const ports = [
      await world.addEntry(),
      await world.addEntry(),
      await world.addEntry(),
    ];
    const replies = await Promise.all(
      Array.from(
        { length: 60 },
        (_, index) => send({ port: ports[index % 3]! }),
      ),
    );
    expect(replies.filter(({ status }) => status !== 200)).to.deep.equal([]);
    expect(runner.ledger.getCounts().maximumInUse).to.be.at.most(8);
  });

  it("runs a keyed strict call once across resends to all entries", async () => {
    await world.addRunner({ serviceMs: 40 });
    await world.addRunner({ serviceMs: 40 });
    const ports = [await world.addEntry(), await world.addEntry()];
    const headers = { ...STRICT, "idempotency-key": "once" };
    const sends = Array.from(
      { length: 6 },
      (_, index) => send({ port: ports[index % 2]!, headers }),
    );
    const replies = await Promise.all(sends);
    const answered = replies.filter(({ status }) => status === 200);
    expect(answered).to.have.lengthOf(1);
    const codes = new Set(replies.map(({ code }) => code));
    expect([...codes].sort()).to.deep.equal(["1000", "4007"]);
    const later = await send({ port: ports[1]!, headers });
    expect(later.body).to.equal(answered[0]!.body);
    const other = await send({ port: ports[1]!, headers, body: "other" });
    expect(other.code).to.equal("2008");
    expect(countExecutions(world)).to.equal(1);
  });

  it("gives the answer again from another entry after the first is gone", async () => {
    await world.addRunner();
    const first = await world.addEntry();
    const second = await world.addEntry();
    const keys = [["a", STRICT], ["b", {}]] as const;
    for (const [key, extra] of keys) {
      const headers = { ...extra, "idempotency-key": key };
      const { body } = await send({ port: first, headers });
      if (key === "b") {
        await world.servers[0]!.stop({ timeoutMs: 500 });
        await world.fronts[0]!.stop();
      }
      const again = await send({
        port: second,
        method: "GET",
        path: `/v1/requests/${key}`,
      });
      expect(again).to.include({ status: 200, code: "1000", body });
    }
  });

  it("runs no keyed strict call without its row, and settles a lost answer", async () => {
    await world.addRunner();
    const port = await world.addEntry();
    const headers = { ...STRICT, "idempotency-key": "k" };
    world.faults.down = true;
    const down = await send({ port, headers });
    const idempotent = await send({ port });
    expect(countExecutions(world, "k")).to.equal(0);
    world.faults.down = false;
    world.faults.loseAnswers = 1;
    const lost = await send({ port, headers });
    expect([down.code, idempotent.code, lost.code]).to.deep.equal([
      "5000",
      "1000",
      "1000",
    ]);
    expect(countExecutions(world, "k")).to.equal(1);
  });
});
