import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import type { WorkerPort } from "@coltsfootpond/ports";
import { CellSimulation } from "../cell_simulation.ts";
import { createSilentAddress } from "../fakes/worker_addresses.ts";
import {
  putRecord,
  startHolder,
  submitFor,
} from "../odd_records/cell_fixtures.ts";
import {
  FirstContacts,
  MAXIMUM_FIRST_CONTACTS,
  REPEATED_CALL_PERIOD_MS,
} from "./first_contacts.ts";

/** Time-out of a first call, and the time until the holder reads the records. */
const CALL_MS = 500 + 1_000;

/** Fills all slots; the returned function ends one of the calls. */
function fill(contacts: FirstContacts): () => void {
  const ends: (() => void)[] = [];
  for (let number = 0; number < MAXIMUM_FIRST_CONTACTS; number++) {
    void contacts.run(
      false,
      () => new Promise<void>((resolve) => void ends.push(resolve)),
    );
  }
  return () => ends.pop()!();
}

const settle = () => new Promise<void>((resolve) => setImmediate(resolve));

describe("the calls to workers that have never reported", () => {
  const clock = ManualClock.create();

  // Guards against a new worker that waits behind addresses which have been silent before.
  it("go before repeated ones, of which every fourth has its turn", async () => {
    const contacts = FirstContacts.create(clock);
    const end = fill(contacts);
    const made: string[] = [];
    const add = (name: string, isRepeated: boolean) =>
      void contacts.run(isRepeated, async () => {
        made.push(name);
        await new Promise(() => {});
      });
    for (const name of ["r1", "r2"]) add(name, true);
    await clock.advance(2 * REPEATED_CALL_PERIOD_MS);
    for (const name of ["f1", "f2", "f3", "f4"]) add(name, false);
    for (let count = 0; count < 6; count++) {
      end();
      await settle();
    }
    expect(made).to.deep.equal(["f1", "f2", "f3", "r1", "f4", "r2"]);
  });

  // Guards against a slot that is not free again after a call that throws.
  it("leave their slots when they fail", async () => {
    const contacts = FirstContacts.create(clock);
    for (let number = 0; number <= MAXIMUM_FIRST_CONTACTS; number++) {
      const call = () => Promise.reject(new Error("test"));
      await contacts.run(false, call).catch(() => {});
    }
    expect(await contacts.run(false, () => Promise.resolve(1))).to.equal(1);
  });

  // Guards against a holder that spends its processor time on addresses that never answer.
  it("are repeated at a bounded rate", async () => {
    const contacts = FirstContacts.create(clock);
    let calls = 0;
    const count = () => Promise.resolve(calls++);
    for (let number = 0; number < MAXIMUM_FIRST_CONTACTS; number++) {
      void contacts.run(true, count);
    }
    await clock.advance(1_000);
    expect(calls).to.equal(1 + 1_000 / REPEATED_CALL_PERIOD_MS);
  });

  // Guards against a process that runs out of memory on the records of a declared service.
  it("are bounded in number, and others still get tasks", async () => {
    const simulation = CellSimulation.create(["a"]);
    for (let number = 0; number < 3 * MAXIMUM_FIRST_CONTACTS; number++) {
      const address = createSilentAddress(number);
      putRecord(simulation, `${number}`, "a", { address });
    }
    let underWay = 0;
    let most = 0;
    simulation.wrapWorkerPort = (port): WorkerPort => ({
      ...port,
      renew: async (...call) => {
        underWay++;
        most = Math.max(most, underWay);
        const outcome = await port.renew(...call);
        underWay--;
        return outcome;
      },
    });
    startHolder(simulation);
    await simulation.clock.advance(CALL_MS);
    expect(most).to.be.within(
      MAXIMUM_FIRST_CONTACTS,
      MAXIMUM_FIRST_CONTACTS + 2,
    );
    await submitFor(simulation, "a");
    await simulation.clock.advance(3 * CALL_MS);
    expect(simulation.get("a").running).to.have.length(1);
  });
});
