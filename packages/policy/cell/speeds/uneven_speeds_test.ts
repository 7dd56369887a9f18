import { expect } from "chai";
import { areSpeedsUneven } from "./uneven_speeds.ts";

const decide = (
  unusualWorkers: number,
  knownWorkers: number,
  present = false,
) => areSpeedsUneven({ unusualWorkers, knownWorkers, workers: 245 }, present);

describe("speeds of a cell", () => {
  // Guards against decisions by the noise of the estimates in a cell of equal workers.
  it("are even while few of many workers seem slow or fast", () => {
    expect(decide(7, 245)).to.equal(false);
    expect(decide(4, 4)).to.equal(false);
  });

  // Guards against urgent gangs on slow workers, as a third of the workers each is slow and fast.
  it("are uneven once a fifth of the known workers is slow or fast", () => {
    expect(decide(160, 245)).to.equal(true);
    expect(decide(6, 12)).to.equal(true);
  });

  // Guards against a plan that alternates between two orders of workers.
  it("stay uneven until less than a tenth of the known workers is", () => {
    expect(decide(30, 245, true)).to.equal(true);
    expect(decide(30, 245)).to.equal(false);
    expect(decide(20, 245, true)).to.equal(false);
  });
});
