/**
 * Events of the timeline. Each process keeps the newest ones in a ring buffer; `coltsfootpond
 * timeline` fetches the rings of all entries and merges them.
 */
import type { Clock } from "./clock.ts";

/** One event; `process` names the process that emitted it, and `atMs` is on its monotonic clock. */
export interface TimelineEvent {
  readonly sequence: number;
  readonly atMs: number;
  readonly process: string;
  readonly incarnation: string;
  /** Dotted lower-case name, such as `job.placed`. */
  readonly event: string;
  /** Names and ids of what the event is about. */
  readonly subject: EventSubject;
  readonly detail?: string;
}

/** What an event may be about; `timeline --request` filters by request and attempt. */
export interface EventSubject {
  readonly requestId?: string;
  readonly attemptId?: string;
  readonly failureDomain?: string;
  readonly organisation?: string;
  readonly service?: string;
  readonly worker?: string;
  readonly runner?: string;
  readonly entry?: string;
  readonly version?: number;
  readonly epoch?: number;
  readonly code?: number;
  readonly durationMs?: number;
}

export interface EventSink {
  emit(event: string, subject?: EventSubject, detail?: string): void;
}

export interface EventRingOptions {
  readonly clock: Clock;
  readonly process: string;
  readonly incarnation: string;
  readonly capacity: number;
  /** Called with every event, for the log. */
  readonly onEvent?: (event: TimelineEvent) => void;
}

/** A ring buffer of the newest events. */
export class EventRing implements EventSink {
  readonly #options: EventRingOptions;
  readonly #events: TimelineEvent[] = [];
  #sequence = 0;

  private constructor(options: EventRingOptions) {
    this.#options = options;
  }

  static create(options: EventRingOptions): EventRing {
    return new EventRing(options);
  }

  emit(event: string, subject: EventSubject = {}, detail?: string): void {
    const { clock, process, incarnation, capacity, onEvent } = this.#options;
    const sequence = this.#sequence++;
    const record: TimelineEvent = {
      sequence,
      atMs: clock.nowMs(),
      process,
      incarnation,
      event,
      subject,
      detail,
    };
    this.#events[sequence % capacity] = record;
    onEvent?.(record);
  }

  /** Events with a sequence of at least `fromSequence`, oldest first. */
  list(fromSequence = 0): readonly TimelineEvent[] {
    return this.#events
      .filter((event) => event.sequence >= fromSequence)
      .sort((left, right) => left.sequence - right.sequence);
  }
}

/** A sink that discards every event. */
export const NULL_EVENT_SINK: EventSink = { emit: () => {} };
