import {
  type EntryName,
  type FailureDomainName,
  ManualClock,
} from "@coltsfootpond/common";
import { expect } from "chai";
import { PendingAcknowledgements } from "./pending_acknowledgements.ts";

const DOMAIN = "domain" as FailureDomainName;
const ENTRIES = ["a", "b"] as EntryName[];
const TIMEOUT_MS = 5_000;

/** Waits for both entries; the result tells after how long, once the wait is over. */
function startWait(pending: PendingAcknowledgements, clock: ManualClock) {
  const wait: { endedMs?: number } = {};
  void pending.waitFor(DOMAIN, ENTRIES, clock, TIMEOUT_MS).then(() => {
    wait.endedMs = clock.nowMs();
  });
  return wait;
}

describe("acknowledgements of a failure domain's change", () => {
  it("end a wait once all entries have acknowledged, and otherwise at its time-out", async () => {
    const clock = ManualClock.create();
    const pending = PendingAcknowledgements.create();
    pending.expect(DOMAIN, 1);
    const wait = startWait(pending, clock);
    pending.add(DOMAIN, 1, ENTRIES[0]!);
    await clock.advance(100);
    expect(wait.endedMs).to.equal(undefined);
    pending.add(DOMAIN, 1, ENTRIES[1]!);
    await clock.advance(100);
    expect(wait.endedMs).to.equal(100);

    pending.expect(DOMAIN, 2);
    const unanswered = startWait(pending, clock);
    await clock.advance(TIMEOUT_MS);
    expect(unanswered.endedMs).to.equal(200 + TIMEOUT_MS);
  });

  it("of a newer version end the waits for the version that it replaced", async () => {
    const clock = ManualClock.create();
    const pending = PendingAcknowledgements.create();
    pending.expect(DOMAIN, 1);
    const wait = startWait(pending, clock);
    pending.add(DOMAIN, 1, ENTRIES[0]!);
    pending.expect(DOMAIN, 2);
    await clock.advance(100);
    expect(wait.endedMs).to.equal(undefined);
    ENTRIES.forEach((entry) => pending.add(DOMAIN, 2, entry));
    await clock.advance(100);
    expect(wait.endedMs).to.equal(100);
  });
});
