/** Makes the two ways in which a call gives no usable answer. */
import type { Unavailable, UnavailableEffect } from "./types.ts";

export function unavailable(
  effect: UnavailableEffect,
  reason: string,
): Unavailable {
  return { kind: "unavailable", effect, reason };
}

/** Certainly without effect. */
export function refused(reason: string): Unavailable {
  return unavailable("refused", reason);
}

/** May have taken effect, or still may. */
export function lost(reason: string): Unavailable {
  return unavailable("lost", reason);
}
