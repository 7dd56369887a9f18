import { ManualClock } from "@coltsfootpond/common";
import type { StateStore, TransactOutcome } from "@coltsfootpond/ports";
import { expect } from "chai";
import { DIRECT_PROBE_PERIOD_MS, DirectPath } from "../direct_path.ts";
import { SILENT_LOG } from "../log.ts";
import { createStoreFake } from "../test_fixtures.ts";

const TIMEOUT_MS = 500;
const LOST: TransactOutcome = {
  kind: "unavailable",
  effect: "lost",
  reason: "timeout",
};
const TRANSACTION = { conditions: [], puts: [], deletes: [] };

function createPath() {
  const clock = ManualClock.create();
  const state = { isSilent: false };
  /** Ends the transactions that got no answer. */
  const timeOuts: (() => void)[] = [];
  const reachable = createStoreFake();
  const store: StateStore = {
    ...reachable,
    transact: (...call) =>
      state.isSilent
        ? new Promise((resolve) => timeOuts.push(() => resolve(LOST)))
        : reachable.transact(...call),
  };
  const path = DirectPath.create({ store, clock, log: SILENT_LOG });
  const transact = () =>
    path.call({ kind: "transact", arguments: [TRANSACTION, TIMEOUT_MS] });
  return { clock, state, timeOuts, path, transact };
}

describe("the direct path, some connections of which have gone silent", () => {
  // Guards against a path that turns down again and again, as older calls run into their time-outs
  // one after the other.
  it("stays up when calls from before it was regained get no answer", async () => {
    const { clock, state, timeOuts, path, transact } = createPath();
    state.isSilent = true;
    const unanswered = [transact(), transact()];
    timeOuts[0]!();
    await unanswered[0];
    expect(path.isDown).to.equal(true);
    state.isSilent = false;
    await clock.advance(DIRECT_PROBE_PERIOD_MS);
    expect(path.isDown).to.equal(false);
    timeOuts[1]!();
    expect(await unanswered[1]).to.deep.equal(LOST);
    expect(path.isDown).to.equal(false);
    path.close();
  });

  it("turns down when a later call gets no answer", async () => {
    const { clock, state, timeOuts, path, transact } = createPath();
    for (let round = 0; round < 2; round++) {
      state.isSilent = true;
      const unanswered = transact();
      timeOuts[round]!();
      await unanswered;
      expect(path.isDown).to.equal(true);
      state.isSilent = false;
      await clock.advance(DIRECT_PROBE_PERIOD_MS);
      expect(path.isDown).to.equal(false);
    }
    path.close();
  });
});
