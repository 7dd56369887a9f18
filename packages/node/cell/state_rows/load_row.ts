/** Decodes the row of the published load. */
import type { ServiceName } from "@coltsfootpond/common";
import type { QueueName } from "@coltsfootpond/policy";
import { z } from "zod";
import type { LoadRow } from "../rows.ts";
import { isText, unpackValue } from "./value_checks.ts";

const RESOURCES = z.object({
  cpuMilli: z.number(),
  memoryMib: z.number(),
  accelerators: z.number(),
});
const LEVEL_WORKS = z.array(z.tuple([z.number(), z.number()]));
const LOAD_ROW = z.object({
  epoch: z.number().int(),
  beat: z.number().int(),
  services: z.array(z.object({
    service: z.custom<ServiceName>(isText),
    reference: RESOURCES,
    free: RESOURCES,
    slots: z.array(z.number()),
    headroomAccelerators: z.number(),
    hasEvictableRuns: z.boolean(),
    rate: z.number().positive(),
    runningWorkMs: z.number(),
    waiting: LEVEL_WORKS,
    arriving: LEVEL_WORKS,
    singleTaskRate: z.number().positive(),
    waitingSingleTasks: LEVEL_WORKS,
  })),
  queues: z.array(z.object({
    queue: z.custom<QueueName>(isText),
    meanWorkMs: z.number(),
    durationRatio: z.number(),
  })),
});

/** Undefined for a value that is not msgpack or that another version of this program wrote. */
export function decodeLoadRow(value: Uint8Array): LoadRow | undefined {
  const row = LOAD_ROW.safeParse(unpackValue(value));
  return row.success ? row.data : undefined;
}
