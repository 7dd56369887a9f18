/** Watches which live jobs the store lists as begun, beside the starts that workers carried out. */
import type { CellJobId } from "@coltsfootpond/policy";
import type { CellSimulation } from "../cell_simulation.ts";
import { type BegunJobsRow, decodeRow, parseBegunKey } from "../rows.ts";

export class BegunList {
  readonly #simulation: CellSimulation;
  readonly #violations = new Set<string>();
  #listed: ReadonlySet<CellJobId> = new Set();

  private constructor(simulation: CellSimulation) {
    this.#simulation = simulation;
  }

  static create(simulation: CellSimulation): BegunList {
    return new BegunList(simulation);
  }

  /** Jobs that were listed before any start, and live ones that are not listed any more. */
  get violations(): readonly string[] {
    return [...this.#violations];
  }

  check(): void {
    const { history, store } = this.#simulation;
    const started = new Set(history.map(({ task }) => task.split(".")[0]));
    const listed = new Set<CellJobId>();
    for (const { key, value } of store.rows().values()) {
      if (value === undefined || parseBegunKey(key) === undefined) continue;
      decodeRow<BegunJobsRow>(value).jobIds.forEach((id) => listed.add(id));
    }
    for (const jobId of listed) {
      if (!started.has(jobId)) this.#violations.add(`${jobId} has no start`);
    }
    for (const jobId of this.#listed) {
      const isLive = this.#simulation.readJob({ jobId })?.kind === "live";
      if (isLive && !listed.has(jobId)) {
        this.#violations.add(`${jobId} is not listed any more`);
      }
    }
    this.#listed = listed;
  }
}
