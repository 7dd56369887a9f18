/** The circuit of one step or queue, with what the choice of trials and the log need. */
import { type QueueName, StartCircuit } from "@coltsfootpond/policy";
import type { LiveJob, Unit, UnitOfJob } from "../live_job.ts";

export interface TrackedCircuit {
  readonly circuit: StartCircuit;
  readonly queue: QueueName;
  /** Undefined for the circuit of a queue. */
  readonly step: TrackedStep | undefined;
  /** Number of its trials that rounds have considered, whether or not they found room. */
  consideredTrials: number;
  consideredMs: number;
  /** Whether the log has shown that it is open. */
  isLogged: boolean;
}

export interface TrackedStep {
  readonly job: LiveJob;
  /** As `formatStep` returns it. */
  readonly key: string;
}

/** A closed circuit. */
export function trackCircuit(
  queue: QueueName,
  step: TrackedStep | undefined,
): TrackedCircuit {
  return {
    circuit: StartCircuit.create(),
    queue,
    step,
    consideredTrials: 0,
    consideredMs: Number.NEGATIVE_INFINITY,
    isLogged: false,
  };
}

/** Key of the unit's step, `{job}.{step}`; the occurrences of a job run the same steps. */
export function formatStep(
  { job, address }: UnitOfJob,
): string {
  return `${job.jobId}.${address.step}`;
}

/** Whether workers have accepted all starts of the unit's run. */
export function hasStarted({ run, count }: Unit): boolean {
  return run !== undefined && !run.isClosing && run.taskRuns.size === count &&
    [...run.taskRuns.keys()].every(({ startAnsweredMs }) =>
      startAnsweredMs !== undefined
    );
}
