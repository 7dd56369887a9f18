/** One ordered time line from the event rings of several processes. */
import type { TimelineEvent } from "@coltsfootpond/common";

/** One ring as it was fetched; `sentMs` and `receivedMs` are on the fetching clock. */
export interface FetchedRing {
  readonly process: string;
  readonly incarnation: string;
  /** The process's clock when it answered. */
  readonly nowMs: number;
  readonly sentMs: number;
  readonly receivedMs: number;
  readonly events: readonly TimelineEvent[];
}

/** An event placed on the common clock. */
export interface PlacedEvent {
  readonly atMs: number;
  /** The true moment is within this much of `atMs`. */
  readonly uncertaintyMs: number;
  readonly event: TimelineEvent;
}

/**
 * Places every event on the fetching clock, taking the answer to lie in the middle of its round
 * trip (Cristian, "Probabilistic clock synchronization", 1989). Events of one process keep their
 * order.
 */
export function mergeRings(
  rings: readonly FetchedRing[],
): readonly PlacedEvent[] {
  return rings.flatMap((ring) => {
    const middleMs = (ring.sentMs + ring.receivedMs) / 2;
    const offsetMs = middleMs - ring.nowMs;
    const uncertaintyMs = (ring.receivedMs - ring.sentMs) / 2;
    return ring.events.map((event) => ({
      atMs: event.atMs + offsetMs,
      uncertaintyMs,
      event,
    }));
  }).sort(comparePlaced);
}

function comparePlaced(left: PlacedEvent, right: PlacedEvent): number {
  return left.atMs - right.atMs ||
    left.event.process.localeCompare(right.event.process) ||
    left.event.sequence - right.event.sequence;
}

/** Events about one request, through all its attempts, in every process. */
export function filterRequest(
  events: readonly PlacedEvent[],
  requestId: string,
): readonly PlacedEvent[] {
  const attempts = new Set(
    events
      .filter(({ event }) => event.subject.requestId === requestId)
      .flatMap(({ event }) => event.subject.attemptId ?? []),
  );
  return events.filter(({ event }) =>
    event.subject.requestId === requestId ||
    attempts.has(event.subject.attemptId ?? "")
  );
}
