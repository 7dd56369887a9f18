import type { TimelineEvent } from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import { formatTimeline } from "./format.ts";
import { type FetchedRing, filterRequest, mergeRings } from "./merge.ts";

function createEvent(
  process: string,
  sequence: number,
  atMs: number,
  subject: TimelineEvent["subject"] = {},
): TimelineEvent {
  return {
    sequence,
    atMs,
    process,
    incarnation: "i",
    event: `job.step_${sequence}`,
    subject,
  };
}

function createRing(
  process: string,
  nowMs: number,
  events: readonly TimelineEvent[],
): FetchedRing {
  return {
    process,
    incarnation: "i",
    nowMs,
    sentMs: 1_000,
    receivedMs: 1_004,
    events,
  };
}

const RINGS = [
  createRing("entry-1", 500, [
    createEvent("entry-1", 0, 100, { requestId: "r1", attemptId: "a1" }),
    createEvent("entry-1", 1, 140, { requestId: "r2" }),
  ]),
  createRing("entry-2", 9_000, [
    createEvent("entry-2", 0, 8_620, { attemptId: "a1", durationMs: 10 }),
  ]),
];

describe("timeline", () => {
  it("orders events of processes with different clocks", () => {
    const merged = mergeRings(RINGS);
    expect({
      text: formatTimeline(merged, "text"),
      json: formatTimeline(merged, "json"),
      trace: formatTimeline(merged, "trace").map((line) => JSON.parse(line)),
    }).toMatchSnapshot();
  });

  it("filters the events of one request and its attempts in every process", () => {
    const events = filterRequest(mergeRings(RINGS), "r1");
    expect(events.map(({ event }) => `${event.process} ${event.sequence}`))
      .to.deep.equal(["entry-1 0", "entry-2 0"]);
  });

  it("computes every time within its uncertainty, whatever the clock offsets", () => {
    const process = fc.record({
      offsetMs: fc.integer({ min: -100_000, max: 100_000 }),
      outMs: fc.integer({ min: 0, max: 50 }),
      backMs: fc.integer({ min: 0, max: 50 }),
      trueTimes: fc.array(fc.integer({ min: 0, max: 10_000 })),
    });
    fc.assert(
      fc.property(fc.array(process), (processes) => {
        const sentMs = 20_000;
        const rings = processes.map((one, index): FetchedRing => ({
          process: `p${index}`,
          incarnation: "i",
          nowMs: sentMs + one.outMs + one.offsetMs,
          sentMs,
          receivedMs: sentMs + one.outMs + one.backMs,
          events: one.trueTimes.map((atMs, sequence) =>
            createEvent(`p${index}`, sequence, atMs + one.offsetMs)
          ),
        }));
        for (const { atMs, uncertaintyMs, event } of mergeRings(rings)) {
          const index = Number(event.process.slice(1));
          const trueMs = processes[index]?.trueTimes[event.sequence] ?? NaN;
          expect(Math.abs(atMs - trueMs)).to.be.at.most(uncertaintyMs);
        }
      }),
      { seed: 11, numRuns: 200 },
    );
  });
});
