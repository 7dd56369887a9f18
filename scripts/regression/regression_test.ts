import { expect } from "chai";
import { readFileSync } from "node:fs";
import { decodeJournalEntry } from "../../platform/benchmark/journal_entry.ts";
import { parseSiteList } from "./site_list.ts";
import { formatTable, listFailures, type SiteOutcome } from "./summary.ts";

const DAY = {
  name: "quiet-1",
  G: 0.8449,
  served: 1,
  refused: 0,
  failed: 0,
  rules: {},
  gate: true,
};

function createOutcome(
  day: Partial<typeof DAY>,
  error: string | null = null,
): SiteOutcome {
  const result = decodeJournalEntry(JSON.stringify({
    site: "example",
    head: "0123456789abcdef",
    dirty: false,
    score: 0.5,
    error,
    days: [{ ...DAY, ...day }],
    digest: "not decoded",
  }));
  return { kind: "scored", result };
}

describe("regression run", () => {
  it("has a valid list of sites", () => {
    const text = readFileSync(new URL("sites.toml", import.meta.url), "utf8");
    expect(parseSiteList(text).length).to.equal(5);
    expect(() => parseSiteList("[[site]]\nfile = 'a'\njobs = 0")).to.throw();
  });

  it("prints each played day and passes when no rule is broken", () => {
    const outcome = createOutcome({});
    expect(formatTable([outcome]).split("\n")[2]).to.equal(
      "| example | 0123456 | quiet-1 | 0.845 | 1.000 | 0.000 | 0.000 |",
    );
    expect(listFailures([outcome])).to.deep.equal([]);
  });

  it("fails for a broken rule, a missed gate, an error, and a site that was not scored", () => {
    const failures = listFailures([
      createOutcome({ rules: { TWICE: 2 } }),
      createOutcome({ gate: false }),
      createOutcome({}, "gave up"),
      { kind: "missing", file: "large/example.toml" },
    ]);
    expect(failures).to.deep.equal([
      "example quiet-1: broken rules: TWICE",
      "example quiet-1: gate missed",
      "example: gave up",
      "large/example.toml: not scored",
    ]);
  });
});
