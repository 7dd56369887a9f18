/**
 * Pure decisions on the ownership of one failure domain: whether a lease permits its owner to act,
 * and whether an entry takes or recovers ownership. The property-based model calls the same
 * functions.
 */
import type { EntryName, Incarnation } from "@coltsfootpond/common";
import {
  OWNERSHIP_LEASE_EXTENSION_MS,
  OWNERSHIP_LEASE_MARGIN_MS,
  OWNERSHIP_LEASE_MS,
  OWNERSHIP_TAKEOVER_STAGGER_MS,
} from "../constants.ts";
import type { OwnerRow } from "../rows.ts";
import {
  getUnchangedMs,
  type RowObservation,
} from "../state/row_observation.ts";

/** The owner's lease of a failure domain; times are on the owner's clock. */
export interface OwnershipLease {
  readonly epoch: number;
  /** The owner may act from this time on. */
  readonly activeFromMs: number;
  /** The owner must not act at or after this time. */
  readonly activeUntilMs: number;
}

/** The lease after a takeover or renewal whose write was sent at `writtenMs`. */
export function grantLease(epoch: number, writtenMs: number): OwnershipLease {
  const activeUntilMs = writtenMs + OWNERSHIP_LEASE_MS -
    OWNERSHIP_LEASE_MARGIN_MS;
  return { epoch, activeFromMs: writtenMs, activeUntilMs };
}

/**
 * The lease after an unsettled takeover write, one whose answer was lost, was found stored at
 * `foundMs`. The write may have been delayed so long that this entry's heartbeats have meanwhile
 * committed it to take nothing (`tableReachable` false), and that an earlier owner still acts
 * because of them. That owner has stopped `OWNERSHIP_LEASE_MS` after it can receive a heartbeat
 * without the commitment. This lease becomes active only then, and only if it is renewed.
 */
export function recoverLease(epoch: number, foundMs: number): OwnershipLease {
  return {
    epoch,
    activeFromMs: foundMs + OWNERSHIP_LEASE_MS,
    activeUntilMs: Number.NEGATIVE_INFINITY,
  };
}

/** The lease after a confirmed renewal; its end never moves back. */
export function renewLease(
  lease: OwnershipLease,
  writtenMs: number,
): OwnershipLease {
  const { activeUntilMs } = grantLease(lease.epoch, writtenMs);
  return {
    ...lease,
    activeUntilMs: Math.max(lease.activeUntilMs, activeUntilMs),
  };
}

/**
 * The lease during a cluster-wide outage of the table service. Every member has committed itself in
 * its heartbeats to take nothing before it has again observed the row unchanged for
 * `OWNERSHIP_LEASE_MS`, so the row still names this owner even when the lease had expired
 * meanwhile.
 */
export function extendLease(
  lease: OwnershipLease,
  nowMs: number,
): OwnershipLease {
  const activeUntilMs = Math.max(
    lease.activeUntilMs,
    nowMs + OWNERSHIP_LEASE_EXTENSION_MS,
  );
  return { ...lease, activeUntilMs };
}

export function isLeaseActive(lease: OwnershipLease, nowMs: number): boolean {
  return lease.activeFromMs <= nowMs && nowMs < lease.activeUntilMs;
}

/** Input of an entry's decision about one failure domain. */
export interface OwnershipInput {
  readonly self: {
    readonly entry: EntryName;
    readonly incarnation: Incarnation;
  };
  /** The row as last read; undefined when there is none. */
  readonly row: OwnerRow | undefined;
  /** How long the row, or its absence, has been observed unchanged. */
  readonly observation: RowObservation;
  /** This entry's place in the order of preference, from 0; undefined when it is no candidate. */
  readonly rank: number | undefined;
  /** As `MembershipController.hasContactedEveryMember`. */
  readonly hasContactedEveryMember: boolean;
  readonly leaving: boolean;
}

export type OwnershipDecision =
  /** Leave it alone: another entry owns it and renews its lease, or this entry may not take it. */
  | { readonly kind: "leave" }
  /** Its row is unchanged, but not yet for long enough; decide again at `untilMs`. */
  | { readonly kind: "wait"; readonly untilMs: number }
  /** Free or expired: take it under `epoch`. */
  | { readonly kind: "take"; readonly epoch: number }
  /** This incarnation already owns it. */
  | { readonly kind: "renew" };

/** Called for each read of the owner row while this entry has no lease of the failure domain. */
export function decideOwnership(input: OwnershipInput): OwnershipDecision {
  const { row, self, observation, rank } = input;
  const isOwn = row?.entry === self.entry &&
    row.incarnation === self.incarnation;
  if (isOwn && !row.released) return { kind: "renew" };
  const mayTake = rank !== undefined && !input.leaving &&
    input.hasContactedEveryMember;
  if (!mayTake) return { kind: "leave" };
  const isFree = row === undefined || row.released;
  const waitMs = (isFree ? 0 : OWNERSHIP_LEASE_MS) +
    rank * OWNERSHIP_TAKEOVER_STAGGER_MS;
  const unchangedMs = getUnchangedMs(observation);
  if (unchangedMs < waitMs) {
    const shouldWait = isFree || unchangedMs > 0;
    if (!shouldWait) return { kind: "leave" };
    return { kind: "wait", untilMs: observation.sinceMs + waitMs };
  }
  return { kind: "take", epoch: (row?.epoch ?? 0) + 1 };
}
