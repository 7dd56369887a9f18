/** Scenarios of ownership, membership, configuration and failure domains under faults. */
import { expect } from "chai";
import { TestCluster } from "./test_cluster.ts";

const ENTRIES = ["entry-a", "entry-b", "entry-c"];
const DOMAINS = ["landsberg", "diessen", "schwabmuenchen"];

describe("state of entries", () => {
  it("settles on one owner per failure domain and goes quiet", async () => {
    const cluster = await TestCluster.create({
      entries: ENTRIES,
      failureDomains: DOMAINS,
    });
    const before = cluster.table.countCalls();
    await cluster.advance(60_000);
    const after = cluster.table.countCalls();
    expect({
      acting: DOMAINS.map((domain) => cluster.listActing(domain)),
      events: [...cluster.nodes.values()].map((node) => node.events),
      callsInOneMinute: {
        scans: after.scans - before.scans,
        reads: after.reads - before.reads,
        transactions: after.transactions - before.transactions,
      },
    }).toMatchSnapshot();
  });
});
