import { setImmediate as nextTurns } from "node:timers/promises";
import { SystemClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { TurnQueue } from "./turn_queue.ts";

describe("the turns of connections", () => {
  // Guards against a client with one request that waits behind all that another has sent ahead.
  it("go round, whatever each of them still has", async () => {
    const queue = TurnQueue.create(SystemClock.create());
    const order: string[] = [];
    const add = (name: string, turns: number) => {
      let left = turns;
      queue.add({
        takeTurn: () => {
          order.push(name);
          return --left > 0;
        },
      });
    };
    add("many", 5);
    add("other", 3);
    add("single", 1);
    while (order.length < 9) await nextTurns();
    expect(order.join(" ")).to.equal(
      "many other single many other many other many many",
    );
  });

  // Guards against turns that keep the event loop from its other work.
  it("leave time to the event loop", async () => {
    let nowMs = 0;
    const clock = { ...SystemClock.create(), nowMs: () => nowMs++ };
    const queue = TurnQueue.create(clock as SystemClock);
    let turns = 0;
    for (let index = 0; index < 100; index++) {
      queue.add({ takeTurn: () => (turns++, false) });
    }
    await nextTurns();
    expect(turns).to.be.within(1, 10);
    for (let loop = 0; loop < 100; loop++) await nextTurns();
    expect(turns).to.equal(100);
  });
});
