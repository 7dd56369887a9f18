/**
 * Logs which starts workers reject: one line for each change of a circuit, and one for each job that
 * waits for it.
 */
import type { Clock } from "@coltsfootpond/common";
import type { CellJobId } from "@coltsfootpond/policy";
import type { DeclaredState } from "@coltsfootpond/ports";
import type { LiveJob } from "../live_job.ts";
import type { CellLog, LogFields } from "../log.ts";
import type { TrackedCircuit } from "./tracked_circuit.ts";

const MAXIMUM_LOGGED_WORKERS = 5;

export interface CircuitLogOptions {
  readonly epoch: number;
  readonly clock: Pick<Clock, "nowMs">;
  readonly log: CellLog;
  readonly getDeclaredState: () => DeclaredState | undefined;
}

export class CircuitLog {
  readonly #options: CircuitLogOptions;
  /** Jobs of which the log has shown that their starts are withheld. */
  readonly #withheldJobs = new Set<CellJobId>();

  private constructor(options: CircuitLogOptions) {
    this.#options = options;
  }

  static create(options: CircuitLogOptions): CircuitLog {
    return new CircuitLog(options);
  }

  recordOpened(tracked: TrackedCircuit): void {
    tracked.isLogged = true;
    this.#options.log.warn("start_circuit.opened", this.#describe(tracked));
  }

  /** Called before the circuit is closed, as that clears what is known of the rejections. */
  recordClosing(tracked: TrackedCircuit): void {
    this.forgetJobs(tracked);
    if (!tracked.isLogged) return;
    tracked.isLogged = false;
    this.#options.log.info("start_circuit.closed", this.#describe(tracked));
  }

  recordForgotten(tracked: TrackedCircuit): void {
    this.forgetJobs(tracked);
    if (!tracked.isLogged) return;
    this.#options.log.info("start_circuit.forgotten", this.#describe(tracked));
  }

  /** Starts of the job are withheld; logged once while circuits are open. */
  recordWithheld({ jobId }: LiveJob, tracked: TrackedCircuit): void {
    if (this.#withheldJobs.has(jobId)) return;
    this.#withheldJobs.add(jobId);
    this.#options.log.info("job.starts_withheld", {
      job: jobId,
      ...this.#describe(tracked),
    });
  }

  /** Later waits are logged again: of all jobs, or of the circuit's. */
  forgetJobs(tracked?: TrackedCircuit): void {
    if (tracked?.step === undefined) this.#withheldJobs.clear();
    else this.#withheldJobs.delete(tracked.step.job.jobId);
  }

  #describe({ circuit, queue, step }: TrackedCircuit): LogFields {
    const { clock, epoch, getDeclaredState } = this.#options;
    const { rejections, reasons, workers, sinceMs } = circuit.summarise();
    const state = getDeclaredState();
    const declaration = state?.queues.find((other) => other.queue === queue);
    return {
      queue,
      ...(step === undefined ? {} : { step: step.key }),
      rejections,
      reasons,
      workers: workers.slice(0, MAXIMUM_LOGGED_WORKERS),
      workerCount: workers.length,
      sinceAgoMs: Math.round(clock.nowMs() - sinceMs),
      requiresTicket: declaration?.requiresTicket,
      declaredVersion: state?.version,
      epoch,
    };
  }
}
