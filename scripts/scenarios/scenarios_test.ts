/** Runs every scenario file: all promises are kept, and the result equals its snapshot. */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { expect } from "chai";
import { parseScenario } from "./scenario_schema.ts";
import { runScenario } from "./run_scenario.ts";

const FOLDER = "scenarios";

describe("scenarios", () => {
  for (const file of readdirSync(FOLDER).sort()) {
    it(file, async () => {
      const scenario = parseScenario(readFileSync(join(FOLDER, file), "utf8"));
      const { events: _events, ...result } = await runScenario(scenario);
      expect(result.breaches).to.deep.equal([]);
      expect(result.answered).to.be.at.least(scenario.expect.minimum_answered);
      expect(result).toMatchSnapshot();
    });
  }
});
