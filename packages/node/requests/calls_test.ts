/** Tests of calls over loopback sockets against runner stand-ins with injected faults. */
import { createRunnerOutput, RUNNER_FAULT } from "@coltsfootpond/stand-ins";
import { expect } from "chai";
import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import {
  countExecutions,
  NON_IDEMPOTENT,
  send,
  sleep,
  waitUntil,
} from "./caller_fixture_test.ts";
import { createDeclarations, RequestFixture, SERVICE } from "./fixture_test.ts";

describe("calls", () => {
  let fixture: RequestFixture;
  let extraServers: Server[];

  beforeEach(() => {
    fixture = new RequestFixture();
    extraServers = [];
  });

  afterEach(async () => {
    await fixture.close();
    for (const server of extraServers) server.close();
  });

  /** Adds a runner that replies with raw bytes, in which `{id}` is replaced by the attempt id. */
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
    fixture.vms.push({
      name,
      role: "runner",
      state: "live",
      host: "127.0.0.1",
      port,
      service: SERVICE,
    });
  }

  it("returns the complete answer to the caller's own request", async () => {
    await fixture.addRunner();
    const port = await fixture.addEntry();
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

  it("reports only what is proven of each runner failure, and runs a non-idempotent call once", async () => {
    const seen: Record<string, unknown> = {};
    for (const fault of Object.values(RUNNER_FAULT)) {
      const faultFixture = new RequestFixture();
      await faultFixture.addRunner({ fault });
      const port = await faultFixture.addEntry();
      const headers = { ...NON_IDEMPOTENT, "idempotency-key": "strict" };
      const first = await send({ port, headers });
      const again = await send({ port, headers });
      const executions = countExecutions(faultFixture);
      await faultFixture.close();
      expect(executions).to.be.at.most(1);
      seen[fault] = {
        first: [first.code, first.resultClass],
        again: [again.code, again.resultClass],
        executions,
      };
    }
    expect(seen).toMatchSnapshot();
  });

  it("rejects replies that are truncated, unframed, of another attempt or malformed", async () => {
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
      fixture.vms = [];
      await addRawRunner(reply);
      const port = await fixture.addEntry();
      const { code, resultClass } = await send({
        port,
        headers: NON_IDEMPOTENT,
      });
      seen[name] = [code, resultClass];
    }
    expect(seen).toMatchSnapshot();
  });

  it("answers idempotent calls although runners are silent, truncate, mix up replies or are down", async () => {
    for (const fault of ["silent", "truncate", "cross", "reset"] as const) {
      await fixture.addRunner({ fault });
    }
    for (let count = 0; count < 8; count++) await fixture.addRunner();
    const stoppedRunner = await fixture.addRunner();
    await stoppedRunner.close();
    const port = await fixture.addEntry();
    const replies = await Promise.all(
      Array.from({ length: 40 }, () => send({ port })),
    );
    expect(replies.filter(({ status }) => status !== 200)).to.deep.equal([]);
  });

  it("reports an idempotent request as unknown when one of its attempts may have run", async () => {
    await fixture.addRunner({ fault: "crash" });
    await fixture.addRunner({ fault: "refuse" });
    const port = await fixture.addEntry();
    for (let count = 0; count < 8; count++) {
      const { resultClass } = await send({
        port,
        headers: { "idempotency-key": `k${count}` },
      });
      const ran = countExecutions(fixture, `k${count}`) > 0;
      expect(resultClass).to.equal(ran ? "unknown" : "not_run");
    }
  });

  it("closes silent connections and all others to the same runner", async () => {
    const runner = await fixture.addRunner();
    const port = await fixture.addEntry();
    await Promise.all(Array.from({ length: 6 }, () => send({ port })));
    const before = fixture.requestRoutes[0]!.describe().runners[0]!;
    expect(before.connections).to.be.above(1);
    runner.setFault("silent");
    await send({ port, headers: NON_IDEMPOTENT });
    await sleep(5);
    expect(fixture.requestRoutes[0]!.describe().runners[0]!.connections).to
      .equal(0);
    runner.setFault("none");
    expect((await send({ port })).status).to.equal(200);
  });

  it("sends a leaving runner no new calls and lets it finish those in progress", async () => {
    fixture.declarations = createDeclarations({ progressTimeoutMs: 2_000 });
    const leaving = await fixture.addRunner({ serviceMs: 700 });
    const port = await fixture.addEntry();
    const running = send({ port, headers: NON_IDEMPOTENT });
    await waitUntil(() => leaving.slotsInUse === 1);
    fixture.vms = fixture.vms.map((vm) => ({ ...vm, state: "leaving" }));
    const otherRunner = await fixture.addRunner();
    await waitUntil(() =>
      fixture.requestRoutes[0]!.describe().runners.some(({ leaving }) =>
        leaving
      )
    );
    const replies = await Promise.all(
      Array.from({ length: 9 }, () => send({ port })),
    );
    expect(replies.filter(({ status }) => status !== 200)).to.deep.equal([]);
    expect(leaving.ledger.getCounts().executions).to.equal(1);
    expect(otherRunner.ledger.getCounts().executions).to.equal(9);
    expect((await running).status).to.equal(200);
  });

  it("sends no new calls to a runner that reports itself as leaving", async () => {
    const runner = await fixture.addRunner();
    runner.setLeaving(true);
    const port = await fixture.addEntry();
    expect((await send({ port })).status).to.equal(200);
    expect((await send({ port })).code).to.equal("3006");
  });

  it("starts no call in a failure domain that is out of service", async () => {
    await fixture.addRunner();
    const port = await fixture.addEntry();
    fixture.domainState = "out";
    expect(await send({ port })).to.include({
      code: "3006",
      resultClass: "not_run",
      retryAfter: "1",
    });
    expect(countExecutions(fixture)).to.equal(0);
  });

  it("never exceeds a runner's slots through several entries", async () => {
    const runner = await fixture.addRunner({ slots: 8, serviceMs: 20 });
    fixture.entryNames = ["entry-0", "entry-1", "entry-2"] as never[];
    const ports = [
      await fixture.addEntry(),
      await fixture.addEntry(),
      await fixture.addEntry(),
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

  it("runs a keyed non-idempotent call once across resends to all entries", async () => {
    await fixture.addRunner({ serviceMs: 40 });
    await fixture.addRunner({ serviceMs: 40 });
    const ports = [await fixture.addEntry(), await fixture.addEntry()];
    const headers = { ...NON_IDEMPOTENT, "idempotency-key": "once" };
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
    expect(countExecutions(fixture)).to.equal(1);
  });

  it("returns a recorded answer from another entry after the first has stopped", async () => {
    await fixture.addRunner();
    const first = await fixture.addEntry();
    const second = await fixture.addEntry();
    const keys = [["a", NON_IDEMPOTENT], ["b", {}]] as const;
    for (const [key, extra] of keys) {
      const headers = { ...extra, "idempotency-key": key };
      const { body } = await send({ port: first, headers });
      if (key === "b") {
        await fixture.servers[0]!.stop({ timeoutMs: 500 });
        await fixture.requestRoutes[0]!.stop();
      }
      const again = await send({
        port: second,
        method: "GET",
        path: `/v1/requests/${key}`,
      });
      expect(again).to.include({ status: 200, code: "1000", body });
    }
  });

  it("runs no keyed non-idempotent call without its row, and resolves an unsettled write", async () => {
    await fixture.addRunner();
    const port = await fixture.addEntry();
    const headers = { ...NON_IDEMPOTENT, "idempotency-key": "k" };
    fixture.faults.down = true;
    const down = await send({ port, headers });
    const idempotent = await send({ port });
    expect(countExecutions(fixture, "k")).to.equal(0);
    fixture.faults.down = false;
    fixture.faults.loseAnswers = 1;
    const lost = await send({ port, headers });
    expect([down.code, idempotent.code, lost.code]).to.deep.equal([
      "5000",
      "1000",
      "1000",
    ]);
    expect(countExecutions(fixture, "k")).to.equal(1);
  });
});
