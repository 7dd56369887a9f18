/** Tests of the pure decisions on ownership at their boundary values. */
import {
  brandId,
  type EntryName,
  type FailureDomainName,
  type Incarnation,
} from "@coltsfootpond/common";
import { expect } from "chai";
import {
  DOMAIN_OUT_BOUND_MS,
  OWNERSHIP_LEASE_MARGIN_MS,
  OWNERSHIP_LEASE_MS,
} from "../constants.ts";
import { observeRowVersion } from "../state/row_observation.ts";
import {
  decideOwnership,
  grantLease,
  isLeaseActive,
  type OwnershipInput,
  recoverLease,
  renewLease,
} from "./decisions.ts";
import { rankCandidates } from "./preference.ts";

const SELF = {
  entry: brandId<EntryName>("self"),
  incarnation: brandId<Incarnation>("1"),
};
const OTHER = {
  entry: brandId<EntryName>("other"),
  incarnation: brandId<Incarnation>("2"),
};

function createInput(changes: Partial<OwnershipInput>): OwnershipInput {
  return {
    self: SELF,
    row: { ...OTHER, epoch: 4, beat: 1, released: false },
    observation: { rowVersion: 1, sinceMs: 0, lastReadMs: OWNERSHIP_LEASE_MS },
    rank: 0,
    hasContactedEveryMember: true,
    leaving: false,
    ...changes,
  };
}

describe("ownership decisions", () => {
  it("take, renew, wait for or leave a failure domain", () => {
    const unchangedUntil = (lastReadMs: number) => ({
      rowVersion: 1,
      sinceMs: 0,
      lastReadMs,
    });
    const own = { ...SELF, epoch: 4, beat: 1, released: false };
    const cases: Record<string, Partial<OwnershipInput>> = {
      "another's, expired": {},
      "another's, renewed": { observation: unchangedUntil(0) },
      "another's, a millisecond short": {
        observation: unchangedUntil(OWNERSHIP_LEASE_MS - 1),
      },
      "another's, expired, second in order": { rank: 1 },
      "another's, expired, not a candidate": { rank: undefined },
      "another's, expired, a joiner": { hasContactedEveryMember: false },
      "another's, expired, leaving": { leaving: true },
      "another's, released": {
        row: { ...own, ...OTHER, released: true },
        observation: unchangedUntil(0),
      },
      "without an owner": { row: undefined, observation: unchangedUntil(0) },
      "own": { row: own, observation: unchangedUntil(0) },
      "own, released": {
        row: { ...own, released: true },
        observation: unchangedUntil(0),
      },
      "own of an earlier incarnation": {
        row: { ...own, incarnation: OTHER.incarnation },
        observation: unchangedUntil(0),
      },
    };
    const decisions = Object.entries(cases).map(([name, changes]) => [
      name,
      decideOwnership(createInput(changes)),
    ]);
    expect(decisions).toMatchSnapshot();
  });

  it("let the owner act for a margin less than its observers wait", () => {
    const lease = grantLease(1, 1_000);
    const endMs = 1_000 + OWNERSHIP_LEASE_MS - OWNERSHIP_LEASE_MARGIN_MS;
    expect([isLeaseActive(lease, endMs - 1), isLeaseActive(lease, endMs)]).to
      .eql([
        true,
        false,
      ]);
    expect(renewLease(lease, 500)).to.eql(lease);
    expect(OWNERSHIP_LEASE_MS - OWNERSHIP_LEASE_MARGIN_MS)
      .to.be.lessThan(DOMAIN_OUT_BOUND_MS);
  });

  it("keep the owner from acting for a lease after a delayed write", () => {
    const recovered = recoverLease(3, 1_000);
    const renewed = renewLease(recovered, 1_000 + OWNERSHIP_LEASE_MS - 1);
    expect([
      isLeaseActive(renewLease(recovered, 2_000), 2_001),
      isLeaseActive(renewed, 1_000 + OWNERSHIP_LEASE_MS - 1),
      isLeaseActive(renewed, 1_000 + OWNERSHIP_LEASE_MS),
    ]).to.eql([false, false, true]);
  });

  it("start the lease again after a gap in the reads", () => {
    const first = observeRowVersion(undefined, 7, 1_000);
    const second = observeRowVersion(first, 7, 3_000);
    const afterGap = observeRowVersion(second, 7, 60_000);
    const moved = observeRowVersion(second, 8, 4_000);
    expect([second, afterGap, moved].map(({ sinceMs }) => sinceMs)).to.eql([
      1_000,
      60_000,
      4_000,
    ]);
  });

  it("move only the failure domains of a member that leaves", () => {
    const entries = Array.from(
      { length: 9 },
      (_, index) => brandId<EntryName>(`entry-${index}`),
    );
    const domains = Array.from(
      { length: 60 },
      (_, index) => brandId<FailureDomainName>(`domain-${index}`),
    );
    const [leaver, ...rest] = entries;
    for (const domain of domains) {
      const before = rankCandidates(domain, entries)[0];
      const after = rankCandidates(domain, rest)[0];
      if (before !== leaver) expect(after).to.equal(before);
    }
  });
});
