/**
 * Makes the end of an attempt durable: the whole answer first, then one transition of the job's
 * row. Retries with full jitter as long as the failure domain is owned. An end that was not recorded
 * is found by the next owner in the fleet's report.
 */
import { createHash } from "node:crypto";
import type {
  AttemptId,
  Clock,
  Digest,
  FailureDomainName,
  Random,
} from "@coltsfootpond/common";
import { brandId } from "@coltsfootpond/common";
import type { ObjectPort, TablePort } from "@coltsfootpond/ports";
import type { AnswerReference, JobEnd, JobRow } from "../rows.ts";
import {
  endJob,
  replaceJob,
  type StoredJob,
  type TransitionOutcome,
} from "./job_rows.ts";

const OBJECT_TIMEOUT_MS = 5_000;
const FIRST_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 5_000;

export interface JobRecorderOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: TablePort;
  readonly objects: ObjectPort;
  readonly failureDomain: FailureDomainName;
  /** False once the failure domain is no longer owned; ends all retries. */
  readonly isOwned: () => boolean;
}

/** Undefined when the failure domain was lost before the write had an outcome. */
export type RecordOutcome =
  | Exclude<TransitionOutcome, { readonly kind: "unavailable" }>
  | undefined;

/** Records ends and requeues of one failure domain's jobs. */
export class JobRecorder {
  readonly #options: JobRecorderOptions;

  private constructor(options: JobRecorderOptions) {
    this.#options = options;
  }

  static create(options: JobRecorderOptions): JobRecorder {
    return new JobRecorder(options);
  }

  /** Stores the answer and ends the job as `answered`. */
  async recordAnswer(
    stored: StoredJob,
    attemptId: AttemptId,
    output: Uint8Array,
  ): Promise<RecordOutcome> {
    const objectKey = `answer/${stored.row.jobId}/${attemptId}`;
    const answer: AnswerReference = {
      objectKey,
      lengthBytes: output.byteLength,
      digest: brandId<Digest>(
        createHash("sha256").update(output).digest("hex"),
      ),
    };
    const isStored = await this.#retry(async () => {
      const outcome = await this.#options.objects.put(objectKey, output, {
        timeoutMs: OBJECT_TIMEOUT_MS,
      });
      return outcome.kind === "stored" ? true : undefined;
    });
    if (isStored === undefined) return undefined;
    return this.recordEnd(stored, {
      state: "answered",
      resultName: "ANSWERED",
      answer,
    });
  }

  recordEnd(stored: StoredJob, end: JobEnd): Promise<RecordOutcome> {
    const { table, failureDomain } = this.#options;
    return this.#retryTransition(() =>
      endJob(table, failureDomain, stored, end)
    );
  }

  recordQueued(stored: StoredJob, next: JobRow): Promise<RecordOutcome> {
    const { table, failureDomain } = this.#options;
    return this.#retryTransition(() =>
      replaceJob(table, failureDomain, stored, next)
    );
  }

  #retryTransition(
    attemptTransition: () => Promise<TransitionOutcome>,
  ): Promise<RecordOutcome> {
    return this.#retry(async () => {
      const outcome = await attemptTransition();
      return outcome.kind === "unavailable" ? undefined : outcome;
    });
  }

  async #retry<Value>(
    attempt: () => Promise<Value | undefined>,
  ): Promise<Value | undefined> {
    const { clock, random, isOwned } = this.#options;
    let backoffMs = FIRST_BACKOFF_MS;
    while (isOwned()) {
      const value = await attempt();
      if (value !== undefined) return value;
      await clock.sleep(random.next() * backoffMs);
      backoffMs = Math.min(backoffMs * 2, MAXIMUM_BACKOFF_MS);
    }
    return undefined;
  }
}
