/**
 * Scenarios of configuration and failure domains: racing operators, outages, interrupted applies.
 */
import { brandId, type FailureDomainName } from "@coltsfootpond/common";
import { expect } from "chai";
import type { ChangeOutcome } from "../failure_domains/failure_domain_controller.ts";
import type { FailureDomainState } from "../rows.ts";
import type { ApplyOutcome } from "../configuration/types.ts";
import { TestCluster } from "./test_cluster.ts";

const ENTRIES = ["entry-a", "entry-b", "entry-c"];
const DOMAIN = brandId<FailureDomainName>("landsberg");

function createCluster(): Promise<TestCluster> {
  return TestCluster.create({ entries: ENTRIES, failureDomains: [DOMAIN] });
}

/** Starts an operator's call and advances until it has ended. */
async function run<Outcome>(
  cluster: TestCluster,
  calls: readonly Promise<Outcome>[],
): Promise<readonly Outcome[]> {
  const all = Promise.all(calls);
  await cluster.watch(6_000);
  return await all;
}

function apply(
  cluster: TestCluster,
  entry: string,
  text: string,
  baseVersion: number,
): Promise<ApplyOutcome> {
  const files = cluster.createFiles(text);
  return cluster.node(entry).state.configuration.apply({ files, baseVersion });
}

function change(
  cluster: TestCluster,
  entry: string,
  state: FailureDomainState,
  baseVersion?: number,
): Promise<ChangeOutcome> {
  const { failureDomains } = cluster.node(entry).state;
  return failureDomains.change({ failureDomain: DOMAIN, state, baseVersion });
}

function describeApply(outcome: ApplyOutcome): string {
  if (outcome.kind === "accepted") return `accepted ${outcome.head.version}`;
  const { winner } = outcome;
  const won = winner ? ` to ${winner.acceptedBy} ${winner.version}` : "";
  return `${outcome.resultName}${won}`;
}

function describeChange(outcome: ChangeOutcome): string {
  if (outcome.kind === "refused") {
    return `${outcome.resultName} at ${outcome.status?.version ?? "unknown"}`;
  }
  const { status, durable, inForceEntries, ownerAcknowledged } = outcome;
  return `${status.state} ${status.version}, durable ${durable}, ` +
    `${inForceEntries.length} of ${outcome.registeredEntries} entries, ` +
    `owner ${ownerAcknowledged}`;
}

function listVersions(cluster: TestCluster): readonly (number | undefined)[] {
  return ENTRIES.map((entry) =>
    cluster.node(entry).state.configuration.current()?.version
  );
}

function listStates(cluster: TestCluster): readonly string[] {
  return ENTRIES.map((entry) => {
    const { state, version, provisional } = cluster.node(entry).state
      .failureDomains.get(DOMAIN);
    return `${state} ${version}${provisional ? " provisional" : ""}`;
  });
}

describe("configuration", () => {
  it("lets one of two racing operators win and names the winner", async () => {
    const cluster = await createCluster();
    const outcomes = await run(cluster, [
      apply(cluster, "entry-a", "second", 1),
      apply(cluster, "entry-b", "other second", 1),
    ]);
    expect({
      outcomes: outcomes.map(describeApply),
      versions: listVersions(cluster),
    }).toMatchSnapshot();
  });

  it("is in force everywhere within a second of the push", async () => {
    const cluster = await createCluster();
    const applying = apply(cluster, "entry-c", "second", 1);
    await cluster.watch(1_000);
    await applying;
    const { configuration } = cluster.node("entry-c").state;
    expect({
      versions: listVersions(cluster),
      report: configuration.reportInForce(2),
      objects: cluster.objects.listKeys().length,
    }).toMatchSnapshot();
  });

  it("changes nothing when an apply is interrupted half way or is invalid", async () => {
    const cluster = await createCluster();
    const head = cluster.table.getRow("config/head");
    const { faults } = cluster.node("entry-a");
    faults.delayAfterMs = 100;
    const interrupted = apply(cluster, "entry-a", "second", 1);
    await cluster.watch(150);
    cluster.setTableDown(true);
    const [outcome] = await run(cluster, [interrupted]);
    /** Three chunks, and the chunk list of each of the two applies. */
    expect(cluster.objects.listKeys().length).to.equal(5);
    cluster.setTableDown(false);
    faults.delayAfterMs = 0;
    const [invalid] = await run(cluster, [
      apply(cluster, "entry-a", "broken", 1),
    ]);
    expect(cluster.table.getRow("config/head")).to.equal(head);
    expect([outcome, invalid].map((one) => one && describeApply(one))).to.eql([
      "TABLE_UNAVAILABLE",
      "CONFIGURATION_INVALID",
    ]);
  });

  it("accepts an apply whose answers are lost once, and its repetition", async () => {
    const cluster = await createCluster();
    cluster.node("entry-a").faults.loseAnswers = 2;
    const first = await run(cluster, [
      apply(cluster, "entry-b", "second", 1),
      apply(cluster, "entry-a", "second", 1),
    ]);
    const again = await run(cluster, [apply(cluster, "entry-c", "second", 1)]);
    expect([...first, ...again].map(describeApply)).toMatchSnapshot();
  });

  it("goes stale on a disconnected entry, and stays fresh in a cluster-wide outage", async () => {
    const cluster = await createCluster();
    cluster.isolate("entry-c", true);
    cluster.node("entry-c").faults.down = true;
    await cluster.watch(15_000);
    const disconnected = ENTRIES.map((entry) =>
      cluster.node(entry).state.configuration.isFresh()
    );
    cluster.isolate("entry-c", false);
    cluster.setTableDown(true);
    await cluster.watch(30_000);
    const inOutage = ENTRIES.map((entry) =>
      cluster.node(entry).state.configuration.isFresh()
    );
    expect({ disconnected, inOutage }).to.eql({
      disconnected: [true, true, false],
      inOutage: [true, true, true],
    });
  });
});

describe("failure domains", () => {
  it("put an out in force everywhere and durably", async () => {
    const cluster = await createCluster();
    const out = await run(cluster, [change(cluster, "entry-a", "out")]);
    const whileOut = listStates(cluster);
    const again = await run(cluster, [change(cluster, "entry-b", "in", 1)]);
    expect({
      outcomes: [...out, ...again].map(describeChange),
      whileOut,
      afterwards: listStates(cluster),
    }).toMatchSnapshot();
  });

  it("put an out in force in memory while the table service is down, and refuse an in", async () => {
    const cluster = await createCluster();
    cluster.setTableDown(true);
    await cluster.watch(5_000);
    const out = await run(cluster, [change(cluster, "entry-a", "out")]);
    const refused = await run(cluster, [change(cluster, "entry-b", "in")]);
    const during = listStates(cluster);
    const writesBefore = cluster.table.countCalls().writes;
    cluster.setTableDown(false);
    await cluster.watch(10_000);
    expect({
      outcomes: [...out, ...refused].map(describeChange),
      during,
      afterwards: listStates(cluster),
      row: cluster.table.getValue("domain/landsberg"),
      isWrittenOnce: cluster.table.getRow("domain/landsberg")?.version,
      writes: cluster.table.countCalls().writes - writesBefore < 60,
    }).toMatchSnapshot();
  });

  it("let out win a race with in on any entry", async () => {
    const cluster = await createCluster();
    await run(cluster, [change(cluster, "entry-a", "out")]);
    const raced = await run(cluster, [
      change(cluster, "entry-a", "in"),
      change(cluster, "entry-b", "in"),
    ]);
    const crossed = await run(cluster, [
      change(cluster, "entry-a", "out", 2),
      change(cluster, "entry-b", "in", 2),
    ]);
    const stale = await run(cluster, [change(cluster, "entry-c", "in", 1)]);
    expect({
      outcomes: [...raced, ...crossed, ...stale].map(describeChange),
      states: listStates(cluster),
    }).toMatchSnapshot();
  });

  it("put an out above a newer in that its entry had not received", async () => {
    const cluster = await createCluster();
    cluster.isolate("entry-c", true);
    cluster.node("entry-c").faults.down = true;
    await cluster.watch(3_000);
    await run(cluster, [change(cluster, "entry-a", "out")]);
    await run(cluster, [change(cluster, "entry-a", "in")]);
    cluster.isolate("entry-c", false);
    await cluster.watch(600);
    const out = await run(cluster, [change(cluster, "entry-c", "out")]);
    expect({
      outcomes: out.map(describeChange),
      states: listStates(cluster),
    }).toMatchSnapshot();
  });

  it("reach an owner that is cut from its peers within the bound", async () => {
    const cluster = await createCluster();
    const owner = cluster.getActing(DOMAIN);
    cluster.isolate(owner, true);
    /** Without polls, only the owner's renewals read the failure domain's row. */
    await cluster.node(owner).state.rows.stop();
    await cluster.watch(2_500);
    const other = ENTRIES.find((entry) => entry !== owner) ?? "";
    const changing = change(cluster, other, "out");
    let answeredMs: number | undefined;
    void changing.then(() => answeredMs = cluster.clock.nowMs());
    let receivedMs: number | undefined;
    cluster.node(owner).state.failureDomains.changes.subscribe(() =>
      receivedMs = cluster.clock.nowMs()
    );
    await cluster.watch(6_000);
    const latenessMs = (receivedMs ?? Infinity) - (answeredMs ?? -Infinity);
    expect(latenessMs).to.be.lessThan(3_000);
    expect(describeChange(await changing)).toMatchSnapshot();
  });

  it("are not changed by late messages of lower versions", async () => {
    const cluster = await createCluster();
    await run(cluster, [change(cluster, "entry-a", "out")]);
    await run(cluster, [change(cluster, "entry-a", "in")]);
    cluster.node("entry-a").mesh.broadcast({
      kind: "domain_changed",
      failureDomain: DOMAIN,
      state: "out",
      version: 1,
      provisional: true,
    });
    const unchanged = ["in 2", "in 2", "in 2"];
    await cluster.watch(100);
    expect(listStates(cluster), "before the next read").to.eql(unchanged);
    await cluster.watch(10_000);
    expect(listStates(cluster), "after it").to.eql(unchanged);
  });
});
