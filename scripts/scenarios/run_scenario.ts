/** Runs one scenario on a simulated cluster and checks the promises. */
import {
  assertNever,
  brandId,
  type EntryName,
  type WorkerName,
} from "@coltsfootpond/common";
import type { Scenario, ScenarioStep } from "./scenario_schema.ts";
import { type BrokenPromise, findBrokenPromises } from "./promises.ts";
import { SimulatedCluster } from "./simulated_cluster.ts";

/** In this time the first declarations are applied and every failure domain gets an owner. */
const WARM_UP_MS = 15_000;
const APPLY_AT_MS = 2_000;

/** Everything but `events` is compared with the snapshot of the scenario. */
export interface ScenarioResult {
  readonly name: string;
  readonly breaches: readonly BrokenPromise[];
  readonly answered: number;
  readonly submitted: number;
  /** Result names of refused submissions. */
  readonly refusals: readonly string[];
  /** Outcomes of the `apply` and `domain` steps. */
  readonly applied: readonly string[];
  readonly events: readonly string[];
}

async function runStep(
  cluster: SimulatedCluster,
  step: ScenarioStep,
): Promise<void> {
  switch (step.do) {
    case "submit":
      return await cluster.submit(
        step.service,
        step.organisation,
        step.count,
        step.entry,
      );
    case "cancel_all":
      return await cluster.cancelAll();
    case "kill":
      return cluster.kill(step.entry);
    case "freeze":
      return cluster.getRunningEntry(step.entry).process.freeze();
    case "thaw":
      return cluster.getRunningEntry(step.entry).process.thaw();
    case "start":
      return cluster.startEntry(brandId<EntryName>(step.entry));
    case "leave":
      return await cluster.leave(step.entry);
    case "cut_link":
      return cluster.network.setLinkCut(step.from, step.to, true);
    case "restore_link":
      return cluster.network.setLinkCut(step.from, step.to, false);
    case "cut_store":
      return void (cluster.getRunningEntry(step.entry).store.down = true);
    case "restore_store":
      return void (cluster.getRunningEntry(step.entry).store.down = false);
    case "store":
      return cluster.platform.changeFaults({
        table: {
          down: step.down,
          delayBeforeMs: step.delay_before_ms,
          delayAfterMs: step.delay_after_ms,
          loseAnswers: step.lose_answers,
        },
      });
    case "worker":
      return cluster.platform.changeFaults({
        workers: [{
          worker: brandId<WorkerName>(step.worker),
          condition: step.condition,
        }],
      });
    case "domain":
      return await cluster.changeDomain(
        step.failure_domain,
        step.state,
        step.entry,
      );
    case "apply":
      await Promise.all(
        step.entries.map((entry, index) =>
          cluster.apply(entry, step.weights[index] ?? 1)
        ),
      );
      return;
    default:
      return assertNever(step);
  }
}

/** Deterministic: the same scenario gives the same result on every run. */
export async function runScenario(scenario: Scenario): Promise<ScenarioResult> {
  const cluster = SimulatedCluster.create(scenario);
  for (const entry of cluster.listEntries()) cluster.startEntry(entry);
  await cluster.clock.advance(APPLY_AT_MS);
  void cluster.apply(undefined, 1);
  await cluster.clock.advance(WARM_UP_MS - APPLY_AT_MS);
  const steps = [...scenario.steps].sort((left, right) =>
    left.at_ms - right.at_ms
  );
  for (const step of steps) {
    await cluster.clock.advance(
      WARM_UP_MS + step.at_ms - cluster.clock.nowMs(),
    );
    void runStep(cluster, step);
  }
  await cluster.clock.advance(
    WARM_UP_MS + scenario.duration_ms - cluster.clock.nowMs(),
  );
  const collecting = cluster.collectEvidence();
  await cluster.clock.advance(1_000);
  const evidence = await collecting;
  const answered =
    evidence.jobs.filter((job) => job.state === "answered").length;
  const { name } = scenario;
  const { jobs, refusals, applied } = cluster;
  return {
    name,
    breaches: findBrokenPromises(evidence),
    answered,
    submitted: jobs.length,
    refusals,
    applied,
    events: cluster.listEvents(),
  };
}
