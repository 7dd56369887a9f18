/** Wraps a store so that its calls are counted and timed. */
import type { Clock } from "@coltsfootpond/common";
import type { StateStore } from "@coltsfootpond/ports";
import type { CellMeters } from "./cell_meters.ts";

/** Returns a store that reports the kind, outcome and duration of each call to the meters. */
export function createMeteredStore(
  store: StateStore,
  { meters, clock }: { readonly meters: CellMeters; readonly clock: Clock },
): StateStore {
  async function measure<Outcome extends { readonly kind: string }>(
    kind: keyof StateStore,
    run: () => Promise<Outcome>,
  ): Promise<Outcome> {
    const startedMs = clock.nowMs();
    const outcome = await run();
    meters.noteStoreCall(kind, outcome.kind, clock.nowMs() - startedMs);
    return outcome;
  }
  return {
    transact: (...call) => measure("transact", () => store.transact(...call)),
    read: (...call) => measure("read", () => store.read(...call)),
    follow: (...call) => measure("follow", () => store.follow(...call)),
  };
}
