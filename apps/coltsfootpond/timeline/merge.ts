/** Merges the event rings of several processes into one ordered timeline. */
import type { TimelineEvent } from "@coltsfootpond/common";

/** One fetched ring; `sentMs` and `receivedMs` are on the clock of the fetching process. */
export interface FetchedRing {
  readonly process: string;
  readonly incarnation: string;
  /** Clock of the ring's process when it answered the request sent at `sentMs`. */
  readonly nowMs: number;
  readonly sentMs: number;
  readonly receivedMs: number;
  readonly events: readonly TimelineEvent[];
}

/** An event with its time converted to the clock of the fetching process. */
export interface AlignedEvent {
  readonly atMs: number;
  /** The true time differs from `atMs` by at most this. */
  readonly uncertaintyMs: number;
  readonly event: TimelineEvent;
}

/**
 * Converts every event's time to the clock of the fetching process, on the assumption that the
 * response was sent in the middle of its round trip (Cristian, "Probabilistic clock
 * synchronization", 1989). Events of one process keep their order.
 */
export function mergeRings(
  rings: readonly FetchedRing[],
): readonly AlignedEvent[] {
  return rings.flatMap((ring) => {
    const middleMs = (ring.sentMs + ring.receivedMs) / 2;
    const offsetMs = middleMs - ring.nowMs;
    const uncertaintyMs = (ring.receivedMs - ring.sentMs) / 2;
    return ring.events.map((event) => ({
      atMs: event.atMs + offsetMs,
      uncertaintyMs,
      event,
    }));
  }).sort(compareAligned);
}

function compareAligned(left: AlignedEvent, right: AlignedEvent): number {
  return left.atMs - right.atMs ||
    left.event.process.localeCompare(right.event.process) ||
    left.event.sequence - right.event.sequence;
}

/** Events that name the request or one of its attempts, in every process. */
export function filterRequest(
  events: readonly AlignedEvent[],
  requestId: string,
): readonly AlignedEvent[] {
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
