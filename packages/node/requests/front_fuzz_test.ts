/** Seeded fuzz test of the callers' HTTP routes over sockets, through the filters to a runner. */
import { SystemClock } from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import { exchangeRaw } from "../http/raw_exchange_test.ts";
import { send } from "./caller_fixture_test.ts";
import { RequestFixture, TOKEN } from "./fixture_test.ts";

const FUZZ_SEED = 20_261_203;
const FUZZ_INPUTS = 10_000;
const FUZZ_BATCH = 500;
/** Longer than every timeout of the server, so that this limit ends no exchange before it. */
const INPUT_END_MS = 5_000;

const clock = SystemClock.create();

/** Pieces of requests in any order, valid requests with one byte changed, and random bytes. */
function createInputs(): fc.Arbitrary<Uint8Array> {
  const piece = fc.constantFrom(
    "POST /v1/services/quote/requests HTTP/1.1\r\n",
    "GET /v1/requests/a HTTP/1.1\r\n",
    "DELETE /v1/requests/a HTTP/1.1\r\n",
    "GET /desk HTTP/1.1\r\n",
    "GET /desk HTTP/1.0\r\n",
    "CONNECT a:1 HTTP/1.1\r\n",
    "OPTIONS * HTTP/1.1\r\n",
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "Host: a\r\n",
    "Content-Length: 4\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Connection: upgrade\r\nUpgrade: websocket\r\n",
    "Expect: 100-continue\r\n",
    `Authorization: Bearer ${TOKEN}\r\n`,
    "Idempotency-Key: a\r\n",
    "Coltsfootpond-Idempotent: false\r\n",
    "Deadline-Ms: 3\r\n",
    "\r\n",
    "4\r\nabcd\r\n",
    "0\r\n\r\n",
    "abcd",
    "\0",
  );
  const pieces = fc.array(piece, { maxLength: 12 }).map((list) =>
    new TextEncoder().encode(list.join(""))
  );
  const valid = new TextEncoder().encode(
    "POST /v1/services/quote/requests HTTP/1.1\r\nHost: a\r\n" +
      `Authorization: Bearer ${TOKEN}\r\nContent-Length: 4\r\n\r\nabcd`,
  );
  const damaged = fc.tuple(fc.nat(valid.length - 1), fc.nat(255)).map(
    ([at, byte]) => valid.map((value, index) => index === at ? byte : value),
  );
  const noise = fc.uint8Array({ maxLength: 200 });
  return fc.oneof(pieces, damaged, noise);
}

describe("callers' HTTP routes under fuzzed input", () => {
  it("leak no connection, request or slot", async () => {
    const fixture = new RequestFixture();
    await fixture.addRunner();
    const port = await fixture.addEntry({
      limits: { headersTimeoutMs: 200, requestTimeoutMs: 200 },
    });
    const inputs = fc.sample(createInputs(), {
      seed: FUZZ_SEED,
      numRuns: FUZZ_INPUTS,
    });
    for (let at = 0; at < inputs.length; at += FUZZ_BATCH) {
      const batch = inputs.slice(at, at + FUZZ_BATCH);
      await Promise.all(
        batch.map((input) => exchangeRaw(port, input, INPUT_END_MS, true)),
      );
    }
    const server = fixture.servers[0]!;
    const requestRoutes = fixture.requestRoutes[0]!;
    const isBusy = (): boolean =>
      server.connectionCount > 0 ||
      requestRoutes.describe().services.some(({ inProgress }) =>
        inProgress > 0
      );
    for (let tries = 0; tries < 300 && isBusy(); tries++) {
      await clock.sleep(10);
    }
    const { runners, services } = requestRoutes.describe();
    expect({
      connections: server.connectionCount,
      requests: server.requestsInProgress,
      slots: runners[0]?.inUse,
      calls: services[0]?.inProgress,
      queued: services[0]?.queued,
    }).to.deep.equal({
      connections: 0,
      requests: 0,
      slots: 0,
      calls: 0,
      queued: 0,
    });
    expect(fixture.runners[0]!.ledger.getCounts().executions).to.be.above(100);
    expect((await send({ port })).status).to.equal(200);
    await fixture.close();
  });
});
