import { setImmediate as nextIteration } from "node:timers/promises";
import { expect } from "chai";
import { TurnQueue } from "./turn_queue.ts";

describe("the turns of connections", () => {
  // Guards against a client with one request that waits behind all that another has sent ahead.
  it("go round, whatever each of them still has", async () => {
    const queue = TurnQueue.create();
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
    while (order.length < 9) await nextIteration();
    expect(order.join(" ")).to.equal(
      "many other single many other many other many many",
    );
  });

  // Guards against turns that keep the event loop from its other work, and from new connections.
  it("are one in each iteration of the event loop", async () => {
    const queue = TurnQueue.create();
    let turns = 0;
    for (let index = 0; index < 100; index++) {
      queue.add({ takeTurn: () => (turns++, false) });
    }
    for (let iteration = 1; iteration <= 100; iteration++) {
      await nextIteration();
      expect(turns).to.equal(iteration);
    }
  });
});
