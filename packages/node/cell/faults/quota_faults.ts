/**
 * Quotas that rise and fall while workers run. No start may bring what really runs for an
 * organisation above the highest quota under which the start may have been sent.
 */
import {
  nextInteger,
  type OrganisationName,
  type Random,
} from "@coltsfootpond/common";
import type { CellJobSpec, TaskName } from "@coltsfootpond/policy";
import type { CellSimulation } from "../cell_simulation.ts";

const ORGANISATIONS = ["x", "y"] as OrganisationName[];
/** From less than a whole worker to all workers; the widest gang takes four workers. */
const ACCELERATORS = [4, 8, 12, 16, 32] as const;
const MINIMUM_PERIOD_MS = 2_000;
const MAXIMUM_PERIOD_MS = 8_000;
/** Longer than a start is under way before a worker carries it out. */
const SENT_BEFORE_MS = 5_000;

/** The accelerators that an organisation may use from a time on. */
interface QuotaChange {
  readonly organisation: OrganisationName;
  readonly atMs: number;
  readonly accelerators: number;
}

export interface QuotaFaultsOptions {
  readonly simulation: CellSimulation;
  readonly random: Random;
  readonly findJob: (task: TaskName) => CellJobSpec | undefined;
}

export class QuotaFaults {
  readonly violations: string[] = [];
  readonly #options: QuotaFaultsOptions;
  readonly #changes: QuotaChange[] = [];
  #hasEnded = false;

  private constructor(options: QuotaFaultsOptions) {
    this.#options = options;
    options.simulation.startListeners.push((_worker, task) =>
      this.#check(task)
    );
  }

  static create(options: QuotaFaultsOptions): QuotaFaults {
    const faults = new QuotaFaults(options);
    faults.#change();
    return faults;
  }

  /** The job with one of the organisations as its owner. */
  assign(spec: CellJobSpec): CellJobSpec {
    const number = nextInteger(this.#options.random, ORGANISATIONS.length);
    return { ...spec, organisation: ORGANISATIONS[number] };
  }

  /** Lifts the quotas for good, so that all jobs can complete. */
  end(): void {
    this.#hasEnded = true;
    this.#options.simulation.declareShares([]);
  }

  #change(): void {
    if (this.#hasEnded) return;
    const { simulation, random } = this.#options;
    const atMs = simulation.clock.nowMs();
    simulation.declareShares(ORGANISATIONS.map((organisation) => {
      const number = nextInteger(random, ACCELERATORS.length);
      const accelerators = ACCELERATORS[number]!;
      this.#changes.push({ organisation, atMs, accelerators });
      const quota = { cpuMilli: 0, memoryMib: 0, accelerators };
      return { organisation, weight: 1 + nextInteger(random, 3), quota };
    }));
    const periodMs = MINIMUM_PERIOD_MS +
      nextInteger(random, MAXIMUM_PERIOD_MS - MINIMUM_PERIOD_MS);
    simulation.clock.after(periodMs, () => this.#change());
  }

  #check(task: TaskName): void {
    const { simulation, findJob } = this.#options;
    const organisation = findJob(task)?.organisation;
    if (organisation === undefined || this.#hasEnded) return;
    const used = simulation.history.reduce((sum, run) => {
      const job = findJob(run.task);
      const isCounted = run.endedMs === undefined &&
        job?.organisation === organisation;
      const step = Number(run.task.split(".")[2]);
      return isCounted ? sum + job.steps[step]!.need.accelerators : sum;
    }, 0);
    const quota = this.#findQuota(organisation);
    if (used <= quota) return;
    const nowMs = Math.round(simulation.clock.nowMs());
    this.violations.push(`${task} at ${nowMs} ms: ${used} of ${quota}`);
  }

  /** The highest one that was in force when the start may have been sent. */
  #findQuota(organisation: OrganisationName): number {
    const sentMs = this.#options.simulation.clock.nowMs() - SENT_BEFORE_MS;
    const own = this.#changes.filter((change) =>
      change.organisation === organisation
    );
    const inForce = own.filter((_, index) =>
      (own[index + 1]?.atMs ?? Infinity) > sentMs
    );
    return Math.max(...inForce.map(({ accelerators }) => accelerators));
  }
}
