/** Tests of a runner's load report and refusals and their effect on its slot limit. */
import { brandId, ManualClock } from "@coltsfootpond/common";
import type { VmRecord } from "@coltsfootpond/ports";
import { expect } from "chai";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { BALANCING_POLICY, getSlotLimit } from "./balancing/choose_runner.ts";
import { BORROWING_PAUSE_MS } from "./constants.ts";
import { Runner } from "./runner.ts";

const SLOTS = { slots: 8, share: 3 } as const;

/** Refuses for lack of a slot while `isFull()`, although its report shows free slots. */
function createRefusingServer(isFull: () => boolean): Server {
  return createServer((incoming, outgoing) => {
    incoming.resume();
    outgoing.setHeader("x-attempt-id", incoming.headers["x-attempt-id"] ?? "");
    outgoing.setHeader("x-slots-in-use", 2);
    outgoing.setHeader("x-slots", SLOTS.slots);
    if (isFull()) outgoing.setHeader("x-not-run", "true");
    outgoing.statusCode = isFull() ? 503 : 200;
    outgoing.end();
  });
}

describe("Runner", () => {
  it("borrows no slots for a while after a refusal for lack of a slot", async () => {
    let full = false;
    const server = createRefusingServer(() => full);
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    const clock = ManualClock.create();
    const runner = Runner.create({
      clock,
      vm: {
        name: "runner",
        role: "runner",
        state: "live",
        host: "127.0.0.1",
        port: (server.address() as AddressInfo).port,
      } as VmRecord,
      mayEject: () => true,
      onEjected: () => {},
      onSlotReleased: () => {},
    });
    const run = () => {
      runner.acquireSlot();
      return runner.run({
        attemptId: brandId("attempt"),
        headers: {},
        body: new Uint8Array(0),
        idempotent: true,
        progressTimeoutMs: 1_000,
        deadlineMs: Infinity,
        signal: undefined,
      });
    };
    const getLimit = () =>
      getSlotLimit(
        BALANCING_POLICY.FIXED_SHARES,
        runner.createCandidate(SLOTS, clock.nowMs()),
      );
    await run();
    expect(getLimit()).to.equal(6);
    full = true;
    await run();
    expect(getLimit()).to.equal(SLOTS.share);
    full = false;
    await clock.advance(BORROWING_PAUSE_MS - 1);
    await run();
    expect(getLimit()).to.equal(SLOTS.share);
    await clock.advance(1);
    expect(getLimit()).to.be.above(SLOTS.share);
    runner.destroy();
    server.close();
  });
});
