/** Pure decisions on which configuration head to follow and whether it is confirmed as current. */
import {
  CONFIGURATION_FRESHNESS_MS,
  MESH_SILENCE_TIMEOUT_MS,
} from "../constants.ts";
import type { ConfigurationHeadRow } from "../rows.ts";

/** The version in force on this entry and when it was last confirmed. */
export interface ConfirmedConfiguration {
  /** 0 while none is in force. */
  readonly version: number;
  readonly digest: string;
  /** The latest time at which the version is confirmed as accepted, on this process's clock. */
  readonly confirmedMs: number;
}

/** What to do with the head that was read. */
export type HeadDecision =
  /** The head equals the version in force, which is confirmed as of the read. */
  | { readonly kind: "confirm" }
  /** The head is newer: fetch it, then put it in force. */
  | { readonly kind: "advance"; readonly head: ConfigurationHeadRow }
  /** The head is older, or has other content under the same version; it is not followed. */
  | { readonly kind: "reject" };

/** Compares the stored head with the version in force; an absent head counts as version 0. */
export function decideHead(
  known: ConfirmedConfiguration,
  head: ConfigurationHeadRow | undefined,
): HeadDecision {
  const version = head?.version ?? 0;
  if (head !== undefined && version > known.version) {
    return { kind: "advance", head };
  }
  if (version < known.version) return { kind: "reject" };
  if (head !== undefined && head.digest !== known.digest) {
    return { kind: "reject" };
  }
  return { kind: "confirm" };
}

/**
 * Time as of which a peer's heartbeat confirms the version in force; undefined when it does not.
 * Subtracts the age that the peer reported and the longest transit time of a heartbeat.
 */
export function getConfirmationMs(
  known: ConfirmedConfiguration,
  peer: { readonly version: number; readonly ageMs: number },
  receivedMs: number,
): number | undefined {
  if (peer.version !== known.version || known.version === 0) return undefined;
  return receivedMs - peer.ageMs - MESH_SILENCE_TIMEOUT_MS;
}

export function isConfirmationFresh(
  known: ConfirmedConfiguration,
  nowMs: number,
): boolean {
  return known.version > 0 &&
    nowMs - known.confirmedMs < CONFIGURATION_FRESHNESS_MS;
}
