/** A simulated cell whose workers reject the starts of one queue, for tests. */
import type { OrganisationName } from "@coltsfootpond/common";
import type {
  CellJobSpec,
  QueueName,
  StepSpec,
  TaskName,
} from "@coltsfootpond/policy";
import type { CellScheduler } from "../cell_scheduler.ts";
import { CellSimulation, SIMULATED_SERVICE } from "../cell_simulation.ts";
import {
  type RejectionReason,
  rejectStarts,
} from "../fakes/start_rejections.ts";
import type { LogFields } from "../log.ts";
import { createSpec, createStep } from "../test_fixtures.ts";

export interface LoggedLine {
  readonly event: string;
  readonly fields: LogFields;
}

export interface RejectingCellOptions {
  readonly workers: number;
  readonly reason: RejectionReason;
  /** Whether the worker with this number rejects the starts; default all do. */
  readonly isRejecting?: (workerNumber: number) => boolean;
}

/** Jobs of the rejected queue have ids that begin so. */
const REJECTED_PREFIX = "b";
const REJECTED_QUEUE = "rejected" as QueueName;
/** Long enough that the urgent jobs of a test do not lose their value by their age. */
const URGENT_ESTIMATE_MS = 10_000;
const ORDINARY_QUEUE = "ordinary" as QueueName;

export class RejectingCell {
  readonly simulation: CellSimulation;
  readonly lines: LoggedLine[] = [];
  /** Number of starts that workers have rejected. */
  rejections = 0;
  /** Whether the workers still reject the starts. */
  isRejecting = true;
  #jobs = 0;
  #declarations = 0;
  #rejectedPrefix = REJECTED_PREFIX;
  #scheduler: CellScheduler | undefined;

  private constructor(options: RejectingCellOptions) {
    const names = Array.from(
      { length: options.workers },
      (_, number) => `w${number}`,
    );
    this.simulation = CellSimulation.create(names);
    names.forEach((name, number) => this.#reject(name, number, options));
    const write = (event: string, fields: LogFields = {}) =>
      void this.lines.push({ event, fields });
    this.simulation.log = { info: write, warn: write };
  }

  static create(options: RejectingCellOptions): RejectingCell {
    return new RejectingCell(options);
  }

  #reject(
    name: string,
    number: number,
    { reason, isRejecting = () => true }: RejectingCellOptions,
  ): void {
    rejectStarts(this.simulation.get(name), reason, (task) => {
      const isRejected = this.isRejecting && isRejecting(number) &&
        task.startsWith(this.#rejectedPrefix);
      if (isRejected) this.rejections++;
      return isRejected;
    });
  }

  /** Declares the rejected queue, beside another one that differs in each version. */
  declareRejectedQueue(changes: { readonly requiresTicket: boolean }): void {
    const declare = (
      queue: QueueName,
      requiresTicket: boolean,
      timeoutMs: number,
    ) => ({
      requiresTicket,
      queue,
      service: SIMULATED_SERVICE,
      host: "host",
      pathPrefix: `/${queue}/`,
      isPublic: true,
      priority: 0,
      maximumAttempts: 3,
      stretch: 3,
      allowanceMs: 0,
      timeoutMs,
    });
    this.simulation.declareQueues([
      declare(REJECTED_QUEUE, changes.requiresTicket, 1_000),
      declare(ORDINARY_QUEUE, false, ++this.#declarations),
    ]);
  }

  /** Workers reject the starts of no other job. */
  rejectOnly({ jobId }: CellJobSpec): void {
    this.#rejectedPrefix = `${jobId}.`;
  }

  startScheduler(): void {
    this.#scheduler = this.simulation.startScheduler();
  }

  /** Replaces the lease holder. */
  startNextScheduler(): void {
    this.simulation.stopScheduler(this.#scheduler!);
    this.startScheduler();
  }

  /** Submits an urgent job of the queue whose starts are rejected. */
  submitRejected(
    step: Partial<StepSpec>,
    overrides: Partial<Pick<CellJobSpec, "queue" | "recurrence">> = {},
  ): Promise<CellJobSpec> {
    return this.#submit(REJECTED_PREFIX, {
      queue: REJECTED_QUEUE,
      organisation: "one" as OrganisationName,
      priority: 0,
      stretch: 3,
      ...overrides,
      steps: [createStep({ estimateMs: URGENT_ESTIMATE_MS, ...step })],
    });
  }

  /** Submits a job of a queue whose starts are accepted. */
  submitOrdinary(
    step: Partial<StepSpec>,
    priority = 2,
  ): Promise<CellJobSpec> {
    return this.#submit("a", {
      queue: ORDINARY_QUEUE,
      organisation: "two" as OrganisationName,
      priority,
      steps: [createStep(step)],
    });
  }

  async #submit(
    prefix: string,
    overrides: Partial<CellJobSpec>,
  ): Promise<CellJobSpec> {
    const jobId = prefix + (this.#jobs++).toString(16).padStart(15, "0");
    const spec = createSpec(jobId, {
      acceptedUnixMs: this.simulation.clock.nowMs(),
      ...overrides,
    });
    await this.simulation.submit(spec);
    return spec;
  }

  /** Tasks of runs of the job that were started, in order. */
  listStarted({ jobId }: CellJobSpec): readonly TaskName[] {
    return this.simulation.history.map(({ task }) => task).filter((task) =>
      task.startsWith(`${jobId}.`)
    );
  }

  isCompleted(spec: CellJobSpec): boolean {
    const row = this.simulation.readJob(spec);
    return row?.kind === "ended" && row.state === "completed";
  }

  /** Number of runs that were stopped before their end. */
  countStopped(): number {
    return this.simulation.history.filter(({ end }) => end === "stopped")
      .length;
  }

  /** Lines of the event. */
  linesOf(event: string): readonly LogFields[] {
    return this.lines.filter((line) => line.event === event).map((
      { fields },
    ) => fields);
  }

  /** Lets all runs end by themselves after this time. */
  setTaskDuration(durationMs: number): void {
    for (const worker of this.simulation.workers.values()) {
      worker.taskDurationMs = durationMs;
    }
  }
}
