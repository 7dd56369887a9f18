/** Creates the outcomes of calls without a usable response. */
import type { Unavailable, UnavailableEffect } from "./types.ts";

/** The outcome of a call without a usable response; `reason` is for logs. */
export function unavailable(
  effect: UnavailableEffect,
  reason: string,
): Unavailable {
  return { kind: "unavailable", effect, reason };
}

/** The call certainly had no effect. */
export function refused(reason: string): Unavailable {
  return unavailable("refused", reason);
}

/** The call may have taken effect, or still may. */
export function lost(reason: string): Unavailable {
  return unavailable("lost", reason);
}
