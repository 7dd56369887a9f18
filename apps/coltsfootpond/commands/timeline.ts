/** `timeline`: fetches the event rings of all live entries and prints one ordered timeline. */
import type { TimelineEvent } from "@coltsfootpond/common";
import { defineCommand } from "../command.ts";
import type { EntryClient } from "../entry_client.ts";
import { EXIT_CODE } from "../exit_codes.ts";
import { listMembers } from "../members.ts";
import { readJson, reportFailure } from "../results.ts";
import { formatTimeline, TIMELINE_FORMAT } from "../timeline/format.ts";
import {
  type FetchedRing,
  filterRequest,
  mergeRings,
} from "../timeline/merge.ts";

/** An entry's answer to `GET /v1/timeline`; `nowMs` is its clock when it answered. */
interface RingDocument {
  readonly process: string;
  readonly incarnation: string;
  readonly nowMs: number;
  readonly events: readonly TimelineEvent[];
}

/**
 * Fetches an entry's ring; undefined when a request fails. The clock is read by a separate request
 * for no events: its round trip is shorter, and so is the error of the clock offset, which is at
 * most half the round trip.
 */
async function fetchRing(
  client: EntryClient,
): Promise<FetchedRing | undefined> {
  const path = `/v1/timeline?from=${Number.MAX_SAFE_INTEGER}`;
  const probe = await client.send({ method: "GET", path });
  const outcome = await client.send({ method: "GET", path: "/v1/timeline" });
  if (probe.kind !== "response" || outcome.kind !== "response") {
    return undefined;
  }
  if (probe.response.status !== 200 || outcome.response.status !== 200) {
    return undefined;
  }
  const { nowMs } = readJson<RingDocument>(probe.response);
  const { sentMs, receivedMs } = probe.response;
  const ring = readJson<RingDocument>(outcome.response);
  return { ...ring, nowMs, sentMs, receivedMs };
}

export const TIMELINE_COMMAND = defineCommand({
  usage: "timeline",
  describe: "Print one timeline of events over all entries",
  positionals: {},
  flags: {
    format: {
      choices: Object.values(TIMELINE_FORMAT),
      default: TIMELINE_FORMAT.TEXT,
      describe: "trace is Chrome's trace-event JSON",
    },
    request: { type: "string", describe: "Only events about this request" },
  },
  async run(context, args) {
    const listed = await listMembers(context);
    if (listed.kind === "failed") {
      return reportFailure(context, listed.outcome) ?? EXIT_CODE.INTERNAL;
    }
    const rings = await Promise.all(
      listed.members.map(({ client }) => fetchRing(client)),
    );
    listed.members.forEach(({ member }, index) => {
      if (rings[index] === undefined) {
        context.printError(`no events from ${member.entry}`);
      }
    });
    const merged = mergeRings(rings.filter((ring) => ring !== undefined));
    const events = args.request === undefined
      ? merged
      : filterRequest(merged, args.request);
    const format = context.json ? TIMELINE_FORMAT.JSON : args.format;
    for (const line of formatTimeline(events, format)) context.print(line);
    return EXIT_CODE.OK;
  },
});
