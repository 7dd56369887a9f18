/**
 * Decides on the jobs of a replayed day as entries do, by the load as published in the last period,
 * and lets refused callers return. Ratios of durations are not learned here.
 */
import {
  AdmissionFloor,
  type CellJobId,
  type CellJobSpec,
  countWidestStep,
  decideAdmission,
  type LoadForecast,
} from "@coltsfootpond/policy";
import type { OrganisationGuarantee } from "@coltsfootpond/ports";
import { LoadCollector } from "../../packages/node/cell/admission/load_collector.ts";
import { LOAD_PERIOD_MS } from "../../packages/node/cell/admission/load_publisher.ts";
import {
  createPlanInput,
  type PlanInputOptions,
} from "../../packages/node/cell/plan_input.ts";

/** How often a caller submits a job that is refused, the first time included. */
const MAXIMUM_TRIES = 5;
const MS_PER_SECOND = 1_000;

/** `leave`: the caller gives up. */
export type ModelDecision =
  | { readonly kind: "admit" | "leave" }
  | { readonly kind: "return"; readonly atMs: number };

/** The admission of one day. */
export class AdmissionModel {
  readonly #collector: LoadCollector;
  readonly #floor = AdmissionFloor.create(() => 0);
  readonly #tries = new Map<string, number>();
  readonly #refused = new Set<CellJobId>();
  #nowMs = 0;
  #nextMs = 0;
  #load: LoadForecast = { services: [], queues: [] };

  private constructor() {
    this.#collector = LoadCollector.create({
      clock: { nowMs: () => this.#nowMs },
    });
  }

  static create(): AdmissionModel {
    return new AdmissionModel();
  }

  /** Jobs refused at least once. */
  get refusedJobIds(): readonly CellJobId[] {
    return [...this.#refused];
  }

  /** Publishes the load when it is due. */
  publish(nowMs: number, createOptions: () => PlanInputOptions): void {
    this.#nowMs = nowMs;
    if (nowMs < this.#nextMs) return;
    this.#nextMs = nowMs + LOAD_PERIOD_MS;
    const options = createOptions();
    this.#collector.observe(createPlanInput(options));
    this.#load = this.#collector.computeForecast(options.jobs);
  }

  decide(
    spec: CellJobSpec,
    guarantees: readonly OrganisationGuarantee[],
  ): ModelDecision {
    const { jobId, organisation, queue, steps } = spec;
    const isGuaranteed = guarantees.some((guarantee) =>
      guarantee.organisation === organisation &&
      guarantee.accelerators >= countWidestStep(steps)
    );
    const spread = Number.parseInt(jobId.slice(0, 4), 16) / 2 ** 16;
    const request = { spec, isGuaranteed, spread };
    const decision = decideAdmission(request, this.#load);
    if (decision.kind === "admit") return { kind: "admit" };
    if (this.#floor.admits(`${organisation} ${queue}`)) {
      return { kind: "admit" };
    }
    this.#refused.add(jobId);
    const tries = (this.#tries.get(jobId) ?? 0) + 1;
    this.#tries.set(jobId, tries);
    if (tries === MAXIMUM_TRIES) return { kind: "leave" };
    const atMs = this.#nowMs + decision.retryAfterS * MS_PER_SECOND;
    return { kind: "return", atMs };
  }
}
