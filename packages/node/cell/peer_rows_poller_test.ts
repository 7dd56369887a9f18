import { ManualClock } from "@coltsfootpond/common";
import type { StateRow } from "@coltsfootpond/ports";
import { expect } from "chai";
import { Subject } from "rxjs";
import { SILENT_LOG } from "./log.ts";
import { PeerRowsPoller } from "./peer_rows_poller.ts";
import { createFollower, createStoreFake } from "./test_fixtures.ts";

function row(key: string, version: number): StateRow {
  return { key, version, value: new Uint8Array([version]) };
}

describe("peer rows poller", () => {
  it("applies only newer versions of known rows, and only while the direct path is down", async () => {
    const clock = ManualClock.create();
    const store = createStoreFake();
    for (const key of ["state", "domain"]) {
      await store.transact({
        conditions: [],
        puts: [{ key, value: new Uint8Array([0]) }],
        deletes: [],
      }, 1);
    }
    const follower = createFollower(store, clock);
    await follower.reload(0);
    const relay = {
      isDirectDown: false,
      directLosses: new Subject<void>(),
      requestedVersions: [] as number[],
      fetchOperatorRows(afterVersion: number) {
        this.requestedVersions.push(afterVersion);
        // A peer's copy of unknown age: a row that was deleted since, an older row and a newer one.
        const rows = [row("deleted", 9), row("domain", 1), row("state", 7)];
        return Promise.resolve({ rows });
      },
    };
    const changes: string[] = [];
    follower.changes.subscribe((rows) =>
      changes.push(...rows.map(({ key, version }) => `${key} ${version}`))
    );
    const poller = PeerRowsPoller.create({
      relay,
      follower,
      clock,
      log: SILENT_LOG,
    });
    await clock.advance(2_000);
    expect(relay.requestedVersions).to.deep.equal([]);
    relay.isDirectDown = true;
    relay.directLosses.next();
    await clock.advance(1_000);
    expect(relay.requestedVersions[0]).to.equal(2);
    expect(changes).to.deep.equal(["state 7"]);
    expect(follower.get("domain")?.version).to.equal(2);
    expect(follower.get("deleted")).to.equal(undefined);
    relay.isDirectDown = false;
    await clock.advance(1_000);
    const requestCount = relay.requestedVersions.length;
    await clock.advance(2_000);
    expect(relay.requestedVersions).to.have.lengthOf(requestCount);
    poller.stop();
  });
});
