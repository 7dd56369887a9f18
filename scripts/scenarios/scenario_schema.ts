/** Schema of scenario files (TOML): topology, services, timed steps and the promises to check. */
import { parse } from "smol-toml";
import { z } from "zod";

const entry = z.string();
const failureDomain = z.string();

const topologySchema = z.strictObject({
  entries: z.int().positive().default(3),
  failure_domains: z.int().positive().default(3),
  racks_per_domain: z.int().positive().default(1),
  workers_per_rack: z.int().positive().default(4),
});

const serviceSchema = z.strictObject({
  name: z.string(),
  tasks: z.int().positive(),
  accelerators: z.int().nonnegative(),
  run_ms: z.int().positive(),
  idempotent: z.boolean().default(true),
  can_checkpoint: z.boolean().default(true),
  urgent: z.boolean().default(false),
});

/** One timed step; `do` names the action, `at_ms` counts from the end of the warm-up. */
const stepSchema = z.discriminatedUnion("do", [
  z.strictObject({
    do: z.literal("submit"),
    at_ms: z.int(),
    service: z.string(),
    count: z.int().default(1),
    entry: entry.optional(),
    organisation: z.string().default("org-1"),
  }),
  z.strictObject({ do: z.literal("cancel_all"), at_ms: z.int() }),
  z.strictObject({ do: z.literal("kill"), at_ms: z.int(), entry }),
  z.strictObject({ do: z.literal("freeze"), at_ms: z.int(), entry }),
  z.strictObject({ do: z.literal("thaw"), at_ms: z.int(), entry }),
  z.strictObject({ do: z.literal("start"), at_ms: z.int(), entry }),
  z.strictObject({ do: z.literal("leave"), at_ms: z.int(), entry }),
  z.strictObject({
    do: z.literal("cut_link"),
    at_ms: z.int(),
    from: entry,
    to: entry,
  }),
  z.strictObject({
    do: z.literal("restore_link"),
    at_ms: z.int(),
    from: entry,
    to: entry,
  }),
  z.strictObject({ do: z.literal("cut_store"), at_ms: z.int(), entry }),
  z.strictObject({ do: z.literal("restore_store"), at_ms: z.int(), entry }),
  z.strictObject({
    do: z.literal("store"),
    at_ms: z.int(),
    down: z.boolean().optional(),
    delay_before_ms: z.int().optional(),
    delay_after_ms: z.int().optional(),
    lose_answers: z.int().optional(),
  }),
  z.strictObject({
    do: z.literal("worker"),
    at_ms: z.int(),
    worker: z.string(),
    condition: z.enum(["healthy", "bad", "down"]),
  }),
  z.strictObject({
    do: z.literal("domain"),
    at_ms: z.int(),
    failure_domain: failureDomain,
    state: z.enum(["in", "out"]),
    entry: entry.optional(),
  }),
  z.strictObject({
    do: z.literal("apply"),
    at_ms: z.int(),
    entries: z.array(entry),
    weights: z.array(z.int().positive()),
  }),
]);

const scenarioSchema = z.strictObject({
  name: z.string(),
  seed: z.int(),
  duration_ms: z.int().positive(),
  topology: topologySchema,
  services: z.array(serviceSchema),
  steps: z.array(stepSchema),
  /** Checked in addition to the promises that every scenario checks. */
  expect: z.strictObject({
    every_job_ends: z.boolean().default(true),
    minimum_answered: z.int().default(0),
  }),
});

export type Scenario = z.infer<typeof scenarioSchema>;
export type ScenarioStep = z.infer<typeof stepSchema>;
export type ScenarioService = z.infer<typeof serviceSchema>;

/** Throws a `ZodError` with all problems of the file, or a syntax error of the TOML. */
export function parseScenario(text: string): Scenario {
  return scenarioSchema.parse(parse(text));
}
