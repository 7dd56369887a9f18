/** Tests of the pool against a list of VMs with a revision. */
import { expect } from "chai";
import {
  brandId,
  type EntryName,
  ManualClock,
  NULL_EVENT_SINK,
  SeededRandom,
} from "@coltsfootpond/common";
import type {
  VmListOptions,
  VmListOutcome,
  VmRecord,
} from "@coltsfootpond/ports";
import type { FailureDomainView } from "../types.ts";
import { VM_POLL_PERIOD_MS } from "./constants.ts";
import { UpstreamPool } from "./pool.ts";

const RUNNER: VmRecord = {
  name: "runner-1",
  role: "runner",
  state: "live",
  host: "127.0.0.1",
  port: 1,
  service: "quote",
  slots: 8,
};

/** A list of VMs that answers like the platform: `unchanged` for a known revision. */
class RevisionedVmList {
  readonly knownRevisions: (string | undefined)[] = [];
  vms: readonly VmRecord[] = [RUNNER];
  revision = 1;

  list({ knownRevision }: VmListOptions): Promise<VmListOutcome> {
    this.knownRevisions.push(knownRevision);
    const revision = String(this.revision);
    return Promise.resolve(
      knownRevision === revision
        ? { kind: "unchanged" }
        : { kind: "list", vms: this.vms, revision },
    );
  }
}

describe("UpstreamPool", () => {
  it("keeps its runners while the list is unchanged, and applies each change", async () => {
    const clock = ManualClock.create();
    const vms = new RevisionedVmList();
    const self = brandId<EntryName>("entry-1");
    const pool = UpstreamPool.create({
      clock,
      vms,
      self,
      random: SeededRandom.create(1),
      events: NULL_EVENT_SINK,
      failureDomains: {} as FailureDomainView,
      listEntries: () => [self],
      balancing: "least_loaded" as never,
    });
    const seen: string[] = [];
    const recordStatus = () =>
      seen.push(
        pool.list().map((one) => `${one.runner} leaving=${one.leaving}`).join(),
      );
    await pool.start();
    recordStatus();
    await clock.advance(2 * VM_POLL_PERIOD_MS);
    recordStatus();
    vms.vms = [{ ...RUNNER, state: "leaving" }];
    vms.revision += 1;
    await clock.advance(VM_POLL_PERIOD_MS);
    recordStatus();
    vms.vms = [];
    vms.revision += 1;
    await clock.advance(VM_POLL_PERIOD_MS);
    recordStatus();
    pool.stop();
    expect(seen).to.deep.equal([
      "runner-1 leaving=false",
      "runner-1 leaving=false",
      "runner-1 leaving=true",
      "",
    ]);
    expect(vms.knownRevisions).to.deep.equal(["", "1", "1", "1", "2"]);
  });
});
