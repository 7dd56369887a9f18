/** Tests of the upstream pool's parts: shares, balancing policies, health, reuse of connections. */
import {
  brandId,
  type EntryName,
  ManualClock,
  type RunnerName,
  SeededRandom,
} from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import {
  BALANCING_POLICY,
  chooseRunner,
  getSlotLimit,
} from "./balancing/choose_runner.ts";
import {
  MAXIMUM_CONNECTION_AGE_MS,
  MAXIMUM_IDLE_NON_IDEMPOTENT_MS,
} from "./constants.ts";
import { exchangeWithRunner } from "./exchange.ts";
import { RunnerHealth } from "./health.ts";
import { RunnerAgent } from "./runner_agent.ts";
import { computeShare } from "./shares.ts";
import { FAILURE_CAUSE, type RunnerCandidate } from "./types.ts";

function createCandidate(
  change: Partial<RunnerCandidate> = {},
): RunnerCandidate {
  return {
    runner: brandId("runner"),
    inUse: 0,
    share: 2,
    slots: 8,
    mayBorrow: true,
    reportAgeMs: 0,
    ...change,
  };
}

describe("upstreams", () => {
  it("divides all slots of every runner among the entries", () => {
    fc.assert(
      fc.property(
        fc.uniqueArray(fc.string({ minLength: 1 }), {
          minLength: 1,
          maxLength: 9,
        }),
        fc.nat(20),
        fc.string(),
        (names, slots, name) => {
          const entries = names.map((entry) => brandId<EntryName>(entry));
          const runner = brandId<RunnerName>(name);
          const shares = entries.map((self) =>
            computeShare({ runner, slots, self, entries })
          );
          expect(shares.reduce((sum, share) => sum + share, 0)).to.equal(slots);
          expect(Math.max(...shares) - Math.min(...shares)).to.be.at.most(1);
        },
      ),
      { seed: 6, numRuns: 300 },
    );
  });

  it("limits each policy by the reported slots of other entries", () => {
    const candidates: Readonly<Record<string, RunnerCandidate>> = {
      unreported: createCandidate(),
      full: createCandidate({ othersInUse: 6 }),
      free: createCandidate({ othersInUse: 1 }),
      ageing: createCandidate({ othersInUse: 1, reportAgeMs: 700 }),
      old: createCandidate({ othersInUse: 1, reportAgeMs: 60_000 }),
      crowded: createCandidate({ othersInUse: 8 }),
    };
    const limits = Object.entries(candidates).map(([name, candidate]) => [
      name,
      ...Object.values(BALANCING_POLICY).map((policy) =>
        getSlotLimit(policy, candidate)
      ),
    ]);
    expect(limits).toMatchSnapshot();
  });

  it("chooses slots of the own share first, the least loaded runner, and never a full one", () => {
    const random = SeededRandom.create(1);
    const candidates = [
      createCandidate({ runner: brandId("borrow"), inUse: 2, othersInUse: 0 }),
      createCandidate({ runner: brandId("busy"), inUse: 1, othersInUse: 5 }),
      createCandidate({ runner: brandId("calm"), inUse: 1, othersInUse: 2 }),
      createCandidate({ runner: brandId("full"), inUse: 8, othersInUse: 0 }),
    ];
    const choose = (
      policy: keyof typeof BALANCING_POLICY,
      from: RunnerCandidate[],
    ) => chooseRunner(BALANCING_POLICY[policy], from, random)?.runner;
    expect({
      shares: choose("FIXED_SHARES", candidates),
      borrowing: choose("FIXED_SHARES", [candidates[0]!, candidates[3]!]),
      nothing: choose("FIXED_SHARES", [candidates[3]!]),
      leastLoad: choose("LEAST_LOAD", candidates),
      twoChoices: choose("TWO_CHOICES", [candidates[1]!, candidates[3]!]),
    }).toMatchSnapshot();
  });

  it("ejects by cause of failure, for longer each time, and raises the load slowly", async () => {
    const clock = ManualClock.create();
    let mayEject = true;
    const health = RunnerHealth.create({ clock, mayEject: () => mayEject });
    const seen: unknown[] = [];
    const fail = (cause: "failure" | "silent" | "unreachable" | "full") =>
      seen.push([cause, health.recordFailure(cause), health.isEjected()]);
    fail(FAILURE_CAUSE.FULL);
    fail(FAILURE_CAUSE.FAILURE);
    fail(FAILURE_CAUSE.FAILURE);
    health.recordSuccess();
    fail(FAILURE_CAUSE.UNREACHABLE);
    fail(FAILURE_CAUSE.UNREACHABLE);
    await clock.advance(1_000);
    seen.push(health.isEjected(), health.getLoadShare());
    await clock.advance(1_500);
    seen.push(health.getLoadShare());
    fail(FAILURE_CAUSE.SILENT);
    await clock.advance(1_999);
    seen.push(health.isEjected());
    await clock.advance(1 + 3_000);
    health.recordSuccess();
    seen.push(health.isEjected(), health.getLoadShare());
    mayEject = false;
    fail(FAILURE_CAUSE.SILENT);
    expect(seen).toMatchSnapshot();
  });

  it("reuses a connection only within its idle time and age", async () => {
    let connections = 0;
    const server = createServer((incoming, outgoing) => {
      incoming.resume();
      outgoing.setHeader(
        "x-attempt-id",
        incoming.headers["x-attempt-id"] ?? "",
      );
      outgoing.setHeader("content-length", 0);
      outgoing.end();
    });
    server.on("connection", () => connections++);
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    const { port } = server.address() as AddressInfo;
    const clock = ManualClock.create();
    const agent = RunnerAgent.create(clock);
    const seen: number[] = [];
    const exchange = async (idempotent: boolean): Promise<void> => {
      const target = { host: "127.0.0.1", port, agent, clock };
      const outcome = await exchangeWithRunner(target, {
        attemptId: brandId("attempt"),
        headers: {},
        body: new Uint8Array(0),
        idempotent,
        progressTimeoutMs: 1_000,
        deadlineMs: Infinity,
        signal: undefined,
      });
      expect(outcome.kind).to.equal("answered");
      await new Promise((resolve) => setImmediate(resolve));
      seen.push(connections);
    };
    await exchange(true);
    await exchange(false);
    await clock.advance(MAXIMUM_IDLE_NON_IDEMPOTENT_MS);
    await exchange(true);
    await clock.advance(MAXIMUM_IDLE_NON_IDEMPOTENT_MS);
    await exchange(false);
    agent.invalidateConnections();
    await exchange(true);
    for (let age = 0; age <= MAXIMUM_CONNECTION_AGE_MS; age += 5_000) {
      await clock.advance(5_000);
      await exchange(true);
    }
    expect(seen).toMatchSnapshot();
    agent.destroy();
    server.close();
  });
});
