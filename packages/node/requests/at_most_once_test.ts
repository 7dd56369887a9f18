/**
 * Property test: under faults of runners and the table service, a keyed non-idempotent call runs at
 * most once, and no reply contradicts whether it ran.
 */
import { RUNNER_FAULT, type RunnerFault } from "@coltsfootpond/stand-ins";
import { expect } from "chai";
import fc from "fast-check";
import {
  type CallerReply,
  countExecutions,
  NON_IDEMPOTENT,
  send,
} from "./caller_fixture_test.ts";
import { RequestFixture } from "./fixture_test.ts";

const SEED = 3;
const RUNS = 60;
const KEYS = ["a", "b"] as const;

/** One step of a run: the faults, and the requests that are sent concurrently. */
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
  const fixture = new RequestFixture();
  const runner = await fixture.addRunner({ serviceMs: 1 });
  const ports = [await fixture.addEntry(), await fixture.addEntry()];
  const replies = new Map<string, CallerReply[]>();
  for (const round of rounds) {
    runner.setFault(round.fault);
    fixture.faults.down = round.tableDown;
    fixture.faults.loseAnswers = round.lostAnswers;
    await Promise.all(round.sends.map(async ({ entry, key }) => {
      const headers = { ...NON_IDEMPOTENT, "idempotency-key": key };
      const reply = await send({ port: ports[entry]!, headers });
      replies.set(key, [...replies.get(key) ?? [], reply]);
    }));
  }
  for (const [key, seen] of replies) {
    const executions = countExecutions(fixture, key);
    const answers = seen.filter(({ code }) => code === "1000");
    expect(executions, `executions of ${key}`).to.be.at.most(1);
    expect(new Set(answers.map(({ body }) => body)).size).to.be.at.most(1);
    if (answers.length > 0) expect(executions).to.equal(1);
    if (seen.every(({ resultClass }) => resultClass === "not_run")) {
      expect(executions, `${key} was reported as not run`).to.equal(0);
    }
  }
  fixture.faults.down = false;
  await fixture.close();
}

describe("at most once", () => {
  it("is kept under faults of runners and the table service, resends and races", async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(ROUND, { minLength: 1, maxLength: 5 }),
        runRounds,
      ),
      { seed: SEED, numRuns: RUNS, endOnFailure: true },
    );
  });
});
