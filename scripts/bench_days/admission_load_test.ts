/** Tests of admission under replayed loads: what is refused, and what would have become of it. */
import { expect } from "chai";
import { LOAD, type Load } from "./arrivals.ts";
import { type Deployment, DEPLOYMENTS } from "./deployments.ts";
import { POLICIES } from "./policies.ts";
import { replayDay } from "./replay.ts";

const SEEDS = [1, 2, 3];

/** The small deployment with `factor` times its arrivals. */
function createLoaded(factor: number): Deployment {
  const { small } = DEPLOYMENTS;
  const scale = <Kind extends { readonly arrivalsPerS: number }>(
    kind: Kind,
  ) => ({ ...kind, arrivalsPerS: kind.arrivalsPerS * factor });
  return {
    ...small,
    kinds: {
      large: scale(small.kinds.large),
      urgent: scale(small.kinds.urgent),
      wide: scale(small.kinds.wide),
    },
  };
}

function replay(
  name: string,
  load: Load,
  seed: number,
  deployment: Deployment,
) {
  const policy = POLICIES.find((policy) => policy.name === name)!;
  return replayDay(policy, load, seed, deployment);
}

describe("admission in a replayed day", () => {
  // Guards against refusals of jobs that would have been served in time, which cost their callers
  // all of their value. A test replays one seed: all seeds in one took over a minute on a machine
  // that ran three processes for each processor.
  for (const seed of SEEDS) {
    it(`refuses in two bursts at once on a full cell only jobs that would have been late, seed ${seed}`, () => {
      const day = [LOAD.TWO_BURSTS, seed, createLoaded(3)] as const;
      const { refusedJobIds } = replay("present", ...day);
      const onTime = new Set(replay("admit_all", ...day).onTimeJobIds);
      const wronglyRefused = refusedJobIds.filter((job) => onTime.has(job));
      expect(wronglyRefused).to.deep.equal([]);
      expect(refusedJobIds).not.to.deep.equal([]);
    });
  }

  // Guards against refusals by a cell that can run what is submitted.
  it("refuses nothing on days for which the cell has the capacity", () => {
    for (const load of [LOAD.STEADY, LOAD.TWO_BURSTS]) {
      const { refusedJobIds } = replay("present", load, 1, createLoaded(1));
      expect(refusedJobIds, load).to.deep.equal([]);
    }
  });
});
