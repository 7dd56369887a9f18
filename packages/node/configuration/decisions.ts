/** Pure decisions on which configuration is in force and how well that is confirmed. */
import {
  CONFIGURATION_FRESHNESS_MS,
  MESH_SILENCE_TIMEOUT_MS,
} from "../constants.ts";
import type { ConfigurationHeadRow } from "../rows.ts";

/** What an entry knows of the configuration. */
export interface ConfirmedConfiguration {
  /** 0 while none is in force. */
  readonly version: number;
  readonly digest: string;
  /** As of when the version was known to be the accepted one, on this process's clock. */
  readonly confirmedMs: number;
}

export type HeadDecision =
  /** The head is the version in force: confirmed as of the read. */
  | { readonly kind: "confirm" }
  /** A newer head: fetch it, then put it in force. */
  | { readonly kind: "advance"; readonly head: ConfigurationHeadRow }
  /** Older than what is in force, or another content under one version; never followed. */
  | { readonly kind: "reject" };

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
 * As of when a peer's word confirms the version in force; undefined when it does not. The age the
 * peer gave counts, and the longest that its heartbeat may have been under way.
 */
export function getConfirmationMs(
  known: ConfirmedConfiguration,
  peer: { readonly version: number; readonly ageMs: number },
  heardMs: number,
): number | undefined {
  if (peer.version !== known.version || known.version === 0) return undefined;
  return heardMs - peer.ageMs - MESH_SILENCE_TIMEOUT_MS;
}

export function isConfirmationFresh(
  known: ConfirmedConfiguration,
  nowMs: number,
): boolean {
  return known.version > 0 &&
    nowMs - known.confirmedMs < CONFIGURATION_FRESHNESS_MS;
}
