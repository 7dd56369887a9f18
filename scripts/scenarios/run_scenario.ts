/** Runs one scenario to its end and judges it. */
import {
  assertNever,
  brandId,
  type EntryName,
  type WorkerName,
} from "@coltsfootpond/common";
import type { Scenario, ScenarioStep } from "./scenario_schema.ts";
import { type BrokenPromise, findBrokenPromises } from "./promises.ts";
import { SimulatedCluster } from "./simulated_cluster.ts";

/** The first declarations are applied and every domain owned before steps begin. */
const WARM_UP_MS = 15_000;
const APPLY_AT_MS = 2_000;

export interface ScenarioResult {
  readonly name: string;
  readonly breaches: readonly BrokenPromise[];
  readonly answered: number;
  readonly submitted: number;
  readonly refusals: readonly string[];
  readonly applied: readonly string[];
  readonly events: readonly string[];
}

async function act(world: SimulatedCluster, step: ScenarioStep): Promise<void> {
  switch (step.do) {
    case "submit":
      return await world.submit(
        step.service,
        step.organisation,
        step.count,
        step.entry,
      );
    case "cancel_all":
      return await world.cancelAll();
    case "kill":
      return world.kill(step.entry);
    case "freeze":
      return world.getRunningEntry(step.entry).gate.freeze();
    case "thaw":
      return world.getRunningEntry(step.entry).gate.thaw();
    case "start":
      return world.startEntry(brandId<EntryName>(step.entry));
    case "leave":
      return await world.leave(step.entry);
    case "cut_link":
      return world.network.setCut(step.from, step.to, true);
    case "restore_link":
      return world.network.setCut(step.from, step.to, false);
    case "cut_store":
      return void (world.getRunningEntry(step.entry).store.down = true);
    case "restore_store":
      return void (world.getRunningEntry(step.entry).store.down = false);
    case "store":
      return world.platform.changeFaults({
        table: {
          down: step.down,
          delayBeforeMs: step.delay_before_ms,
          delayAfterMs: step.delay_after_ms,
          loseAnswers: step.lose_answers,
        },
      });
    case "worker":
      return world.platform.changeFaults({
        workers: [{
          worker: brandId<WorkerName>(step.worker),
          condition: step.condition,
        }],
      });
    case "domain":
      return await world.changeDomain(
        step.failure_domain,
        step.state,
        step.entry,
      );
    case "apply":
      await Promise.all(
        step.entries.map((entry, index) =>
          world.apply(entry, step.weights[index] ?? 1)
        ),
      );
      return;
    default:
      return assertNever(step);
  }
}

/** Deterministic: the same scenario gives the same result on every run. */
export async function runScenario(scenario: Scenario): Promise<ScenarioResult> {
  const world = SimulatedCluster.create(scenario);
  for (const entry of world.listEntries()) world.startEntry(entry);
  await world.clock.advance(APPLY_AT_MS);
  void world.apply(undefined, 1);
  await world.clock.advance(WARM_UP_MS - APPLY_AT_MS);
  const steps = [...scenario.steps].sort((left, right) =>
    left.at_ms - right.at_ms
  );
  for (const step of steps) {
    await world.clock.advance(WARM_UP_MS + step.at_ms - world.clock.nowMs());
    void act(world, step);
  }
  await world.clock.advance(
    WARM_UP_MS + scenario.duration_ms - world.clock.nowMs(),
  );
  const closing = world.close();
  await world.clock.advance(1_000);
  const ledger = await closing;
  const answered = ledger.jobs.filter((job) => job.state === "answered").length;
  const { name } = scenario;
  const { jobs, refusals, applied } = world;
  return {
    name,
    breaches: findBrokenPromises(ledger),
    answered,
    submitted: jobs.length,
    refusals,
    applied,
    events: world.listEvents(),
  };
}
