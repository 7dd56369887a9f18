/** Property: whatever breaks, a keyed strict call runs at most once and its outcomes are true. */
import { RUNNER_FAULT, type RunnerFault } from "@coltsfootpond/stand-ins";
import { expect } from "chai";
import fc from "fast-check";
import {
  type CallerReply,
  countExecutions,
  send,
  STRICT,
} from "./caller_fixture_test.ts";
import { RequestFixture } from "./fixture_test.ts";

const SEED = 3;
const RUNS = 60;
const KEYS = ["a", "b"] as const;

/** One moment of the run: what is broken, and which sends happen at once. */
interface Round {
  readonly fault: RunnerFault;
  readonly tableDown: boolean;
  readonly lostAnswers: number;
  readonly sends: readonly { readonly entry: number; readonly key: string }[];
}

const FAULTS = Object.values(RUNNER_FAULT).filter((fault) =>
  fault !== RUNNER_FAULT.SILENT
);

const ROUND: fc.Arbitrary<Round> = fc.record({
  fault: fc.constantFrom(...FAULTS),
  tableDown: fc.boolean(),
  lostAnswers: fc.nat(2),
  sends: fc.array(
    fc.record({ entry: fc.nat(1), key: fc.constantFrom(...KEYS) }),
    { minLength: 1, maxLength: 4 },
  ),
});

async function runRounds(rounds: readonly Round[]): Promise<void> {
  const world = new RequestFixture();
  const runner = await world.addRunner({ serviceMs: 1 });
  const ports = [await world.addEntry(), await world.addEntry()];
  const replies = new Map<string, CallerReply[]>();
  for (const round of rounds) {
    runner.setFault(round.fault);
    world.faults.down = round.tableDown;
    world.faults.loseAnswers = round.lostAnswers;
    await Promise.all(round.sends.map(async ({ entry, key }) => {
      const headers = { ...STRICT, "idempotency-key": key };
      const reply = await send({ port: ports[entry]!, headers });
      replies.set(key, [...replies.get(key) ?? [], reply]);
    }));
  }
  for (const [key, seen] of replies) {
    const executions = countExecutions(world, key);
    const answers = seen.filter(({ code }) => code === "1000");
    expect(executions, `runs of ${key}`).to.be.at.most(1);
    expect(new Set(answers.map(({ body }) => body)).size).to.be.at.most(1);
    if (answers.length > 0) expect(executions).to.equal(1);
    if (seen.every(({ resultClass }) => resultClass === "not_run")) {
      expect(executions, `${key} was said not to have run`).to.equal(0);
    }
  }
  world.faults.down = false;
  await world.close();
}

describe("at most once", () => {
  it("holds under faults of runners and table, resends and races", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(ROUND, { minLength: 1, maxLength: 5 }),
        runRounds,
      ),
      { seed: SEED, numRuns: RUNS, endOnFailure: true },
    );
  });
});
