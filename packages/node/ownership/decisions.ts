/**
 * Pure decisions on the ownership of one failure domain: whether a lease lets its holder act, and
 * what an entry does about a row. The property-based model runs exactly these functions.
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

/** A lease as its holder knows it, on the holder's clock. */
export interface OwnershipLease {
  readonly epoch: number;
  /** The holder acts only from here on. */
  readonly activeFromMs: number;
  /** The holder acts only before this. */
  readonly activeUntilMs: number;
}

/** Until when the holder may act after a write of its beat that was sent at `writtenMs`. */
export function grantLease(epoch: number, writtenMs: number): OwnershipLease {
  const actsUntilMs = writtenMs + OWNERSHIP_LEASE_MS -
    OWNERSHIP_LEASE_MARGIN_MS;
  return { epoch, activeFromMs: writtenMs, activeUntilMs: actsUntilMs };
}

/**
 * A lease found standing in its row, by a write whose answer was lost. The write may have come so
 * late that an earlier holder, relying on this entry's promise to take nothing, still acts; it has
 * stopped a term after it can hear otherwise.
 */
export function recoverLease(epoch: number, foundMs: number): OwnershipLease {
  return {
    epoch,
    activeFromMs: foundMs + OWNERSHIP_LEASE_MS,
    activeUntilMs: Number.NEGATIVE_INFINITY,
  };
}

/** A confirmed beat moves the end on, never back. */
export function renewLease(
  lease: OwnershipLease,
  writtenMs: number,
): OwnershipLease {
  const { activeUntilMs: actsUntilMs } = grantLease(lease.epoch, writtenMs);
  return {
    ...lease,
    activeUntilMs: Math.max(lease.activeUntilMs, actsUntilMs),
  };
}

/**
 * Goes on in a closed world. Each member has promised to take nothing before it has watched a full
 * term, so the row is still this holder's even when the lease had run out meanwhile.
 */
export function extendLease(
  lease: OwnershipLease,
  nowMs: number,
): OwnershipLease {
  const actsUntilMs = Math.max(
    lease.activeUntilMs,
    nowMs + OWNERSHIP_LEASE_EXTENSION_MS,
  );
  return { ...lease, activeUntilMs: actsUntilMs };
}

export function isLeaseActive(lease: OwnershipLease, nowMs: number): boolean {
  return lease.activeFromMs <= nowMs && nowMs < lease.activeUntilMs;
}

/** What an entry knows when it decides about one failure domain. */
export interface OwnershipInput {
  readonly self: {
    readonly entry: EntryName;
    readonly incarnation: Incarnation;
  };
  /** The row as last read; undefined when there is none. */
  readonly row: OwnerRow | undefined;
  /** Its beat as observed; for an absent row, its absence. */
  readonly beat: RowObservation;
  /** This entry's place in the order of preference among live eligible members, from 0. */
  readonly rank: number | undefined;
  /** Registered, and has met every registered member or seen it lapse. */
  readonly hasContactedEveryMember: boolean;
  readonly leaving: boolean;
}

export type OwnershipDecision =
  /** Someone else's, and its beat moves. */
  | { readonly kind: "leave" }
  /** Its beat stands still, but not yet for long enough; look again then. */
  | { readonly kind: "wait"; readonly untilMs: number }
  | { readonly kind: "take"; readonly epoch: number }
  /** It is this incarnation's own. */
  | { readonly kind: "renew" };

export function decideOwnership(input: OwnershipInput): OwnershipDecision {
  const { row, self, beat, rank } = input;
  const isOwn = row?.entry === self.entry &&
    row.incarnation === self.incarnation;
  if (isOwn && !row.released) return { kind: "renew" };
  const mayTake = rank !== undefined && !input.leaving &&
    input.hasContactedEveryMember;
  if (!mayTake) return { kind: "leave" };
  const isFree = row === undefined || row.released;
  const waitMs = (isFree ? 0 : OWNERSHIP_LEASE_MS) +
    rank * OWNERSHIP_TAKEOVER_STAGGER_MS;
  const stillMs = getUnchangedMs(beat);
  if (stillMs < waitMs) {
    const isSuspect = isFree || stillMs > 0;
    if (!isSuspect) return { kind: "leave" };
    return { kind: "wait", untilMs: beat.sinceMs + waitMs };
  }
  return { kind: "take", epoch: (row?.epoch ?? 0) + 1 };
}
