/** Formats a timeline as text, as JSON lines, or in Chrome's trace-event format. */
import { assertNever, type ValueOf } from "@coltsfootpond/common";
import type { AlignedEvent } from "./merge.ts";

export const TIMELINE_FORMAT = {
  TEXT: "text",
  JSON: "json",
  TRACE: "trace",
} as const;
export type TimelineFormat = ValueOf<typeof TIMELINE_FORMAT>;

const MICROSECONDS_PER_MS = 1_000;

/** One event of Chrome's trace-event format; times in microseconds. */
interface TraceEvent {
  readonly name: string;
  readonly cat: string;
  readonly ph: "X" | "i" | "M";
  readonly ts: number;
  readonly dur?: number;
  readonly pid: number;
  readonly tid: number;
  readonly s?: "p";
  readonly args: object;
}

function formatText(aligned: AlignedEvent, originMs: number): string {
  const { event } = aligned;
  const subject = Object.entries(event.subject)
    .map(([name, value]) => `${name}=${value}`).join(" ");
  const time = (aligned.atMs - originMs).toFixed(3).padStart(12);
  return [time, event.process, event.event, subject, event.detail]
    .filter((part) => part !== undefined && part !== "").join("  ");
}

/** Converts one event. The time of an event with a duration is the duration's end. */
function createTraceEvent(
  { atMs, event }: AlignedEvent,
  originMs: number,
  processes: readonly string[],
): TraceEvent {
  const durationMs = event.subject.durationMs;
  const endUs = (atMs - originMs) * MICROSECONDS_PER_MS;
  const common = {
    name: event.event,
    cat: event.event.split(".")[0] ?? "event",
    pid: processes.indexOf(event.process) + 1,
    tid: 1,
    args: { ...event.subject, detail: event.detail },
  };
  if (durationMs === undefined) {
    return { ...common, ph: "i", s: "p", ts: endUs };
  }
  const dur = durationMs * MICROSECONDS_PER_MS;
  return { ...common, ph: "X", ts: endUs - dur, dur };
}

function formatTrace(
  events: readonly AlignedEvent[],
  originMs: number,
): string {
  const processes = [...new Set(events.map(({ event }) => event.process))];
  const names = processes.map((name, index): TraceEvent => ({
    name: "process_name",
    cat: "__metadata",
    ph: "M",
    ts: 0,
    pid: index + 1,
    tid: 1,
    args: { name },
  }));
  const traceEvents = events.map((event) =>
    createTraceEvent(event, originMs, processes)
  );
  return JSON.stringify({ traceEvents: [...names, ...traceEvents] });
}

/** Lines of output; times are relative to the first event. */
export function formatTimeline(
  events: readonly AlignedEvent[],
  format: TimelineFormat,
): readonly string[] {
  const originMs = events[0]?.atMs ?? 0;
  switch (format) {
    case TIMELINE_FORMAT.TEXT:
      return events.map((event) => formatText(event, originMs));
    case TIMELINE_FORMAT.JSON:
      return events.map(({ atMs, uncertaintyMs, event }) =>
        JSON.stringify({ ...event, atMs: atMs - originMs, uncertaintyMs })
      );
    case TIMELINE_FORMAT.TRACE:
      return [formatTrace(events, originMs)];
    default:
      return assertNever(format);
  }
}
