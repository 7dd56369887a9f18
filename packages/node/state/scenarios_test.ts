/** Scenarios of ownership and membership under faults; `watch` throws when two owners may act. */
import { expect } from "chai";
import { TestCluster } from "./test_cluster.ts";

const ENTRIES = ["entry-a", "entry-b", "entry-c"];
const DOMAIN = "landsberg";

function createCluster(failureDomains = [DOMAIN]): Promise<TestCluster> {
  return TestCluster.create({ entries: ENTRIES, failureDomains });
}

function listOthers(entry: string): readonly string[] {
  return ENTRIES.filter((one) => one !== entry);
}

describe("ownership under faults", () => {
  it("reaches one owner per failure domain and then makes few table calls", async () => {
    const cluster = await createCluster([DOMAIN, "diessen", "schwabmuenchen"]);
    const before = cluster.table.countCalls();
    const changes = await cluster.watch(60_000);
    const after = cluster.table.countCalls();
    expect({
      changes,
      callsInOneMinute: {
        scans: after.scans - before.scans,
        reads: after.reads - before.reads,
        transactions: after.transactions - before.transactions,
      },
    }).toMatchSnapshot();
  });

  it("is taken over one lease after the owner was killed", async () => {
    const cluster = await createCluster();
    cluster.node(cluster.getActing(DOMAIN)).clock.kill();
    expect(await cluster.watch(30_000)).toMatchSnapshot();
  });

  it("is taken over by joiners when the other entries are killed one after another", async () => {
    const cluster = await createCluster();
    const changes: string[] = [];
    for (const name of ENTRIES) {
      await cluster.join(`${name}-new`);
      await cluster.watch(4_000);
      cluster.node(name).clock.kill();
      changes.push(`${name} is killed`, ...await cluster.watch(4_000));
    }
    changes.push("later", ...await cluster.watch(6_000));
    expect(changes).toMatchSnapshot();
  });

  it("keeps an owner that was paused past its lease from acting", async () => {
    const cluster = await createCluster();
    const owner = cluster.getActing(DOMAIN);
    const { state, clock } = cluster.node(owner);
    const owned = state.ownership.listOwned()[0];
    clock.pause();
    const changes = await cluster.watch(12_000);
    const mayActAtThaw = owned && state.ownership.mayAct(owned);
    const resumedMs = cluster.clock.nowMs();
    clock.resume();
    changes.push(...await cluster.watch(5_000));
    const events = cluster.listEvents(owner, resumedMs);
    expect({ changes, mayActAtThaw, events }).toMatchSnapshot();
  });

  it("continues through a table service outage of ten minutes while all are connected", async () => {
    const cluster = await createCluster();
    cluster.setTableDown(true);
    const during = await cluster.watch(600_000);
    const before = cluster.table.countCalls();
    cluster.setTableDown(false);
    const afterwards = await cluster.watch(10_000);
    const after = cluster.table.countCalls();
    expect({
      during,
      afterwards,
      transactionsInTheFirstTenSeconds: after.transactions -
        before.transactions,
    }).toMatchSnapshot();
  });

  it("stops in a table service outage when one member is not connected", async () => {
    const cluster = await createCluster();
    cluster.setTableDown(true);
    const closed = await cluster.watch(20_000);
    const owner = cluster.getActing(DOMAIN);
    const other = listOthers(owner)[0] ?? "";
    cluster.node(other).clock.kill();
    const open = await cluster.watch(20_000);
    cluster.setTableDown(false);
    const returned = await cluster.watch(20_000);
    expect({ closed, open, returned }).toMatchSnapshot();
  });

  it("keeps a joiner from acting during a table service outage", async () => {
    const cluster = await createCluster();
    cluster.setTableDown(true);
    const joiner = await cluster.join("entry-j", { isTableDown: true });
    const during = await cluster.watch(60_000);
    cluster.setTableDown(false);
    const afterwards = await cluster.watch(10_000);
    const isRegistered = joiner.state.membership.isRegistered();
    expect({ during, afterwards, isRegistered }).toMatchSnapshot();
  });

  it("keeps its owner when only the owner is cut from the table service", async () => {
    const cluster = await createCluster();
    const owner = cluster.getActing(DOMAIN);
    cluster.node(owner).faults.down = true;
    const cutMs = cluster.clock.nowMs();
    const changes = await cluster.watch(60_000);
    const events = cluster.listEvents(owner, cutMs);
    expect({ changes, events }).toMatchSnapshot();
  });

  it("keeps its owner when only the owner is cut from its peers", async () => {
    const cluster = await createCluster();
    cluster.isolate(cluster.getActing(DOMAIN), true);
    expect(await cluster.watch(60_000)).toMatchSnapshot();
  });

  it("moves when the owner is cut from the table service and from its peers", async () => {
    const cluster = await createCluster();
    const owner = cluster.getActing(DOMAIN);
    cluster.isolate(owner, true);
    cluster.node(owner).faults.down = true;
    const cut = await cluster.watch(60_000);
    cluster.isolate(owner, false);
    cluster.node(owner).faults.down = false;
    const mended = await cluster.watch(60_000);
    expect({ cut, mended }).toMatchSnapshot();
  });

  it("survives a slow table service and answers lost after the write", async () => {
    const cluster = await createCluster();
    for (const node of cluster.nodes.values()) node.faults.delayAfterMs = 300;
    const slow = await cluster.watch(20_000);
    const lossy: string[] = [];
    for (let round = 0; round < 10; round++) {
      for (const node of cluster.nodes.values()) node.faults.loseAnswers = 3;
      lossy.push(...(await cluster.watch(3_000)).slice(round === 0 ? 0 : 1));
    }
    expect({ slow, lossy }).toMatchSnapshot();
  });

  it("is handed over while all entries are replaced one by one", async () => {
    const cluster = await createCluster([DOMAIN, "diessen", "schwabmuenchen"]);
    const changes: string[] = [];
    for (const name of ENTRIES) {
      const { state, clock } = cluster.node(name);
      await cluster.join(`${name}-new`);
      await cluster.watch(5_000);
      const leaving = state.leave();
      changes.push(`${name} leaves`, ...await cluster.watch(5_000));
      await leaving;
      const stopping = state.stop();
      await cluster.watch(3_000);
      await stopping;
      clock.kill();
    }
    const members = cluster.node("entry-a-new").state.membership.list();
    expect({
      changes,
      members: members.map(({ entry }) => entry),
      left: ENTRIES.map((name) =>
        cluster.listEvents(name, 0).at(-1)?.split(" ").slice(1).join(" ")
      ),
    }).toMatchSnapshot();
  });
});
