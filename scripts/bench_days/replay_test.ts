import { expect } from "chai";
import { createArrivals, LOAD } from "./arrivals.ts";
import { type Deployment, DEPLOYMENTS } from "./deployments.ts";
import { POLICIES } from "./policies.ts";
import { replayDay } from "./replay.ts";
import { type JobResult, scoreDay, scoreUnbounded } from "./score.ts";

/** A quarter of a deployment, with a quarter of its arrivals. */
function createQuarter(large: Deployment): Deployment {
  const quarter = <Kind extends { readonly arrivalsPerS: number }>(
    kind: Kind,
  ) => ({ ...kind, arrivalsPerS: kind.arrivalsPerS / 4 });
  return {
    ...large,
    workers: large.workers / 4,
    guaranteedShare: 4 * large.guaranteedShare,
    kinds: {
      large: quarter(large.kinds.large),
      urgent: quarter(large.kinds.urgent),
      wide: quarter(large.kinds.wide),
    },
  };
}

describe("replayed day", () => {
  it("is deterministic, and no policy earns more than starting every job at once", () => {
    const day = [LOAD.URGENT_BURST, 7] as const;
    const bound = scoreUnbounded(createArrivals(...day));
    for (const policy of POLICIES) {
      const { decisionP99Ms: _first, ...first } = replayDay(policy, ...day);
      const { decisionP99Ms: _again, ...again } = replayDay(policy, ...day);
      expect(again).to.deep.equal(first);
      expect(first.whole).to.be.within(0, bound.whole);
    }
  });

  it("scores a job full in time, less when late, and zero past three times its objective", () => {
    const arrival = createArrivals(LOAD.STEADY, 1).find(({ kind }) =>
      kind.name === "urgent"
    )!;
    const { kind, runsMs } = arrival;
    const objectiveMs = kind.stretch * Math.max(...runsMs.flat()) +
      kind.allowanceMs;
    const share = (
      tookMs: number,
      state: JobResult["state"] = "completed",
    ) => scoreDay([{ arrival, state, tookMs }], 0).whole;
    expect(share(objectiveMs)).to.equal(1);
    expect(share(objectiveMs + 1)).to.be.closeTo(
      kind.lateValue / kind.value,
      1e-9,
    );
    expect(share(3 * objectiveMs + 1)).to.equal(0);
    expect(share(1, "failed")).to.equal(0);
  });

  // Guards against speeds that are estimated but not used well, or used although they are wrong.
  it("earns more with estimated speeds of workers than without, and less than with the actual ones", () => {
    const [present, withoutSpeeds, oracle] = [
      "present",
      "no_speeds",
      "speed_oracle",
    ].map((name) =>
      replayDay(
        POLICIES.find((policy) => policy.name === name)!,
        LOAD.STEADY,
        1,
        createQuarter(DEPLOYMENTS.uneven),
      )
    );
    expect(present!.worth).to.be.greaterThan(withoutSpeeds!.worth);
    expect(oracle!.worth).to.be.greaterThan(present!.worth);
  });

  it("evicts less and earns more with headroom when urgent gangs arrive on a full cell whose tasks stop slowly", () => {
    const [present, withoutHeadroom] = ["present", "no_headroom"].map((name) =>
      replayDay(
        POLICIES.find((policy) => policy.name === name)!,
        LOAD.URGENT_BURST,
        1,
        createQuarter(DEPLOYMENTS.large),
      )
    );
    expect(present!.evictions).to.be.lessThan(withoutHeadroom!.evictions / 2);
    expect(present!.worth).to.be.greaterThan(withoutHeadroom!.worth);
  });
});
