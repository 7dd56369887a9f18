/** Tests of the placement engine on small failure domains. */
import { expect } from "chai";
import type { Decision, EngineEvent } from "../types.ts";
import { createPlacementEngine } from "./engine.ts";
import {
  createGuarantee,
  createJob,
  createOrganisation,
  createShape,
  createWorkers,
} from "./test_fixtures.ts";

/** Applies the events of each step to a new engine and returns the decisions after each step. */
function run(
  steps: readonly {
    readonly atMs: number;
    readonly events: readonly EngineEvent[];
  }[],
): { atMs: number; decisions: readonly Decision[] }[] {
  const engine = createPlacementEngine();
  return steps.map(({ atMs, events }) => {
    for (const event of events) engine.apply(event, atMs);
    return { atMs, decisions: engine.decide(atMs) };
  });
}

const ORGANISATIONS = [createOrganisation("gas"), createOrganisation("bids")];
const WHOLE_WORKER = createShape(1, 8, "worker");
const RACK_GANG = createShape(2, 8, "rack");

function start(guarantees: readonly ReturnType<typeof createGuarantee>[]) {
  return [
    ...createWorkers(2, 2),
    { kind: "configuration", guarantees, organisations: ORGANISATIONS },
  ] as const;
}

function queue(options: Parameters<typeof createJob>[0]): EngineEvent {
  return { kind: "job_queued", job: createJob(options) };
}

describe("PlacementEngine", () => {
  it("places whole gangs within one rack and packs small jobs into a used rack", () => {
    const outcome = run([
      {
        atMs: 0,
        events: [...start([]), queue({ id: "small", accelerators: 1 })],
      },
      { atMs: 1, events: [queue({ id: "gang", shape: RACK_GANG })] },
      { atMs: 2, events: [queue({ id: "small2", accelerators: 1 })] },
    ]);
    expect(outcome).toMatchSnapshot();
  });

  it("evicts the borrowers with the least lost work for a guarantee, never pinned jobs", () => {
    const started = (id: string): EngineEvent => ({
      kind: "job_started",
      jobId: createJob({ id }).jobId,
    });
    const ended = (id: string): EngineEvent => ({
      kind: "attempt_ended",
      jobId: createJob({ id }).jobId,
      end: "stopped",
      requeue: true,
      ranMs: 1,
      workers: [],
    });
    const queueBorrower = (id: string, more: object): EngineEvent =>
      queue({ id, accelerators: 2, organisation: "bids", ...more });
    const outcome = run([
      {
        atMs: 0,
        events: [
          ...createWorkers(1, 1),
          {
            kind: "configuration",
            guarantees: [
              createGuarantee("desk", "gas", createShape(1, 4, "worker")),
            ],
            organisations: ORGANISATIONS,
          },
          queueBorrower("longest", {}),
          queueBorrower("checkpoints", { canCheckpoint: true }),
        ],
      },
      { atMs: 10, events: ["longest", "checkpoints"].map(started) },
      {
        atMs: 50_000,
        events: [queueBorrower("late", {})],
      },
      {
        atMs: 50_010,
        events: [
          started("late"),
          queueBorrower("pinned", { idempotent: false }),
        ],
      },
      { atMs: 59_000, events: [started("pinned")] },
      {
        atMs: 60_000,
        events: [queue({ id: "urgent", accelerators: 4, priority: "urgent" })],
      },
      { atMs: 61_000, events: [ended("checkpoints")] },
      { atMs: 61_100, events: [ended("late")] },
    ]);
    expect(outcome.slice(5)).toMatchSnapshot();
  });

  it("places no pinned job on capacity reserved for a guarantee", () => {
    const outcome = run([
      {
        atMs: 0,
        events: [
          ...start([createGuarantee("desk", "gas", RACK_GANG)]),
          ...["a", "b", "c"].map((id) =>
            queue({
              id,
              shape: WHOLE_WORKER,
              organisation: "bids",
              idempotent: false,
            })
          ),
        ],
      },
      { atMs: 5, events: [queue({ id: "gang", shape: RACK_GANG })] },
    ]);
    expect(outcome).toMatchSnapshot();
  });
});
