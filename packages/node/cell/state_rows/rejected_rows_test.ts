/** Tests of rows of the lease holder that the store can't take. */
import { ManualClock, type WorkerName } from "@coltsfootpond/common";
import type { CellJobId } from "@coltsfootpond/policy";
import type { StateStore } from "@coltsfootpond/ports";
import { expect } from "chai";
import { LoadPublisher } from "../admission/load_publisher.ts";
import { BegunJobsWriter } from "../begun_jobs_writer.ts";
import { SILENT_LOG } from "../log.ts";
import { SpeedsWriter } from "../speeds/speeds_writer.ts";
import { createFollower, createStoreFake } from "../test_fixtures.ts";

const PERIOD_MS = 10_000;
const ROUNDS = 12;

/** A store that rejects each row as malformed or too large, and the number of its calls. */
function createRejectingStore() {
  const clock = ManualClock.create();
  const state = { calls: 0 };
  const fake = createStoreFake();
  const store: StateStore = {
    ...fake,
    transact: () => {
      state.calls++;
      return Promise.resolve({ kind: "rejected", reason: "status 413" });
    },
  };
  const follower = createFollower(fake, clock);
  const options = { store, follower, log: SILENT_LOG, clock };
  return { clock, state, options };
}

async function repeat(
  clock: ManualClock,
  write: () => Promise<void>,
): Promise<void> {
  for (let round = 0; round < ROUNDS; round++) {
    await write();
    await clock.advance(PERIOD_MS);
  }
}

// Guards against a row that the store rejects and that is written again and again, with no effect
// but a share of the writes that the store allows.
describe("a row that the store rejects", () => {
  it("is not written again before the list of begun jobs changes", async () => {
    const { clock, state, options } = createRejectingStore();
    const writer = BegunJobsWriter.create({
      ...options,
      rowLimitBytes: 65_536,
    });
    const jobId = "00000000000000aa" as CellJobId;
    await repeat(clock, () => writer.write([jobId]));
    expect(state.calls).to.equal(1);
    await writer.write([]);
    expect(state.calls).to.equal(2);
  });

  it("is not written again before the speeds change", async () => {
    const { clock, state, options } = createRejectingStore();
    const writer = SpeedsWriter.create({ ...options, nowUnixMs: () => 0 });
    const classify = (speedClass: number) => [{
      worker: "w" as WorkerName,
      incarnationStartUnixMs: 1,
      speedClass,
    }];
    await repeat(clock, () => writer.write(classify(-3)));
    expect(state.calls).to.equal(1);
    await writer.write(classify(-4));
    expect(state.calls).to.equal(2);
  });

  it("is not written again before the load changes", async () => {
    const { clock, state, options } = createRejectingStore();
    const publisher = LoadPublisher.create({ ...options, epoch: 1 });
    let services: readonly { readonly service: string }[] = [];
    Object.assign(publisher.collector, {
      computeForecast: () => ({ services, queues: [] }),
    });
    services = [{ service: "a" }];
    await repeat(clock, () => publisher.publish([]));
    expect(state.calls).to.equal(1);
    services = [{ service: "b" }];
    await publisher.publish([]);
    expect(state.calls).to.equal(2);
  });
});
