import { expect } from "chai";
import { CellSimulation } from "../cell_simulation.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

/** A step that only the named worker may run. */
const runOn = (name: string) => ({
  steps: [createStep({ requiredLabel: name })],
});
const id = (number: number) => number.toString(16).padStart(16, "0");

describe("an acknowledgement that the earlier incarnation answers late", () => {
  // Guards against taking ends of the present incarnation for acknowledged: they would stay listed,
  // and every poll would be answered at once.
  it("does not count for the ends of the next one", async () => {
    const simulation = CellSimulation.create(["a", "b"]);
    const { clock } = simulation;
    const worker = simulation.get("a");
    simulation.startScheduler();
    await clock.advance(3_000);
    for (let number = 1; number < 8; number++) {
      await simulation.submit(createSpec(id(number), runOn("a")));
    }
    await clock.advance(500);
    const renew = worker.renew.bind(worker);
    let isDelayed = false;
    worker.renew = (command) => {
      const isFirst = command.acknowledgedSequence === 5 && !isDelayed;
      // The poll returns this end at once.
      if (isFirst) worker.end(worker.running[0]!, "done");
      const outcome = renew(command);
      if (isFirst) {
        isDelayed = true;
        worker.drawAnswerDelayMs = () => 450;
        clock.after(3, () => {
          worker.drawAnswerDelayMs = () => 0;
          worker.restart();
          void simulation.submit(createSpec(id(9), runOn("a")));
        });
      }
      return outcome;
    };
    for (const task of worker.running.slice(0, 5)) worker.end(task, "done");
    await clock.advance(2_000);
    expect(isDelayed).to.equal(true);
    // One task of the new incarnation ends, another one runs on.
    await simulation.submit(createSpec(id(10), runOn("a")));
    await clock.advance(500);
    worker.end(worker.running[0]!, "done");
    const acknowledged: number[] = [];
    worker.renew = (command) => {
      acknowledged.push(command.acknowledgedSequence);
      return renew(command);
    };
    await clock.advance(5_000);
    expect(acknowledged).to.include(1);
  });
});
