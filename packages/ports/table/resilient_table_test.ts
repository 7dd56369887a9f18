/** Tests of the table client: settling of lost responses, deadlines, health, rate and ranks. */
import {
  brandId,
  ManualClock,
  SeededRandom,
  type WriteId,
} from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import type { TableTransaction, TransactionOutcome } from "../types.ts";
import { FaultInjector, FaultyTable } from "./fault_injector.ts";
import { MemoryTable } from "./memory_table.ts";
import { ResilientTable } from "./resilient_table.ts";
import { WRITE_PRIORITY } from "./types.ts";
import { WriteLimiter } from "./write_limiter.ts";

function createSetup(seed = 1) {
  const clock = ManualClock.create();
  const memory = MemoryTable.create();
  const faults = FaultInjector.create(clock);
  const table = ResilientTable.create({
    port: FaultyTable.create(memory, faults),
    clock,
    random: SeededRandom.create(seed),
  });
  return { clock, memory, faults, table };
}

function put(key: string, version: number, id: string): TableTransaction {
  return {
    writeId: brandId<WriteId>(id),
    conditions: [
      version === 0
        ? { kind: "absent", key }
        : { kind: "version", key, version },
    ],
    writes: [{ kind: "put", key, value: id }],
  };
}

async function finish(
  clock: ManualClock,
  call: Promise<TransactionOutcome>,
): Promise<string> {
  await clock.advance(10_000);
  const outcome = await call;
  return outcome.kind === "unavailable"
    ? `${outcome.kind} ${outcome.effect}`
    : outcome.kind;
}

const OPTIONS = { timeoutMs: 3_000 };

describe("table client", () => {
  it("settles a write whose answer was lost by its write id", async () => {
    const { clock, faults, table, memory } = createSetup();
    faults.loseAnswers = 1;
    const first = await finish(
      clock,
      table.transact(put("a", 0, "one"), OPTIONS),
    );
    const again = await finish(
      clock,
      table.transact(put("a", 0, "two"), OPTIONS),
    );
    expect([first, again, memory.getValue("a")]).to.eql([
      "committed",
      "conflict",
      "one",
    ]);
  });

  it("distinguishes refused from lost after the last attempt", async () => {
    const { clock, faults, table } = createSetup();
    faults.down = true;
    const refused = await finish(
      clock,
      table.transact(put("a", 0, "x"), OPTIONS),
    );
    const health = table.getHealth();
    faults.down = false;
    faults.delayAfterMs = 5_000;
    const lost = await finish(clock, table.transact(put("a", 0, "y"), OPTIONS));
    faults.delayAfterMs = 400;
    const slow = await finish(clock, table.transact(put("b", 0, "z"), OPTIONS));
    expect([refused, health, lost, slow, table.getHealth()]).to.eql([
      "unavailable refused",
      "down",
      "unavailable lost",
      "committed",
      "slow",
    ]);
  });

  it("does not repeat an unconditional write whose answer was lost", async () => {
    const { clock, faults, table, memory } = createSetup();
    faults.loseAnswers = 1;
    const write = { ...put("a", 0, "x"), conditions: [] };
    const outcome = await finish(clock, table.transact(write, OPTIONS));
    expect([outcome, memory.countCalls().transactions]).to.eql([
      "committed",
      1,
    ]);
  });

  it("reports racing writes correctly, whatever answers are lost", async () => {
    const seed = Number(process.env.MODEL_SEED ?? "1");
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.record({ writer: fc.nat(1), lost: fc.nat(4) }), {
          maxLength: 8,
        }),
        fc.nat(),
        async (steps, randomSeed) => {
          const { clock, faults, table, memory } = createSetup(randomSeed);
          const committed: string[] = [];
          for (const [index, step] of steps.entries()) {
            faults.loseAnswers = step.lost;
            const version = memory.getRow("a")?.version ?? 0;
            const calls = [0, 1].map(async (writer) => {
              const id = `${index}-${writer}`;
              const outcome = await table.transact(
                put("a", version, id),
                OPTIONS,
              );
              const isHere = memory.getRow("a")?.writeId === id;
              if (outcome.kind === "committed") committed.push(id);
              if (outcome.kind === "committed") expect(isHere).to.equal(true);
              if (outcome.kind === "conflict") expect(isHere).to.equal(false);
            });
            await clock.advance(10_000);
            await Promise.all(calls);
          }
          expect(new Set(committed).size).to.equal(committed.length);
        },
      ),
      { seed, numRuns: 300 },
    );
  });
});

describe("write limiter", () => {
  it("keeps to the entry's share of the write rate and admits higher ranks first", async () => {
    const clock = ManualClock.create();
    const limiter = WriteLimiter.create(clock, {
      writesPerSecond: 30,
      maximumWaiting: 50,
    });
    limiter.setEntryCount(3);
    const admitted: string[] = [];
    const ranks = [
      WRITE_PRIORITY.OTHER,
      WRITE_PRIORITY.OWNERSHIP,
      WRITE_PRIORITY.ANSWER,
    ];
    for (let index = 0; index < 70; index++) {
      const rank = ranks[index % 3] ?? WRITE_PRIORITY.OTHER;
      const deadlineMs = index < 60 ? 60_000 : 500;
      void limiter.admit({ rank, writes: 1, deadlineMs }).then((outcome) => {
        const atSecond = Math.floor(clock.nowMs() / 1_000);
        const word = outcome.kind === "refused"
          ? outcome.reason
          : `rank ${rank}`;
        admitted.push(`${atSecond} ${word}`);
      });
    }
    await clock.advance(7_000);
    const counts = new Map<string, number>();
    for (const line of admitted) counts.set(line, (counts.get(line) ?? 0) + 1);
    expect([...counts]).toMatchSnapshot();
  });
});
