/** Defines the order of the request filters. */
import type { Clock, EventSink, Random } from "@coltsfootpond/common";
import type { UpstreamPool } from "../upstreams/pool.ts";
import type { ConfigurationView, JobOperations } from "../types.ts";
import type { CallRecords } from "./call_records.ts";
import { FilterChain, type Handler } from "./filter_chain.ts";
import { type Admissions, createAdmissionFilter } from "./filters/admission.ts";
import { createAttemptHandler } from "./filters/attempt.ts";
import { createAuthoriseFilter } from "./filters/authorise.ts";
import { createDeduplicateFilter } from "./filters/deduplicate.ts";
import { createDispatchJobFilter } from "./filters/dispatch_job.ts";
import { createIdentifyFilter } from "./filters/identify.ts";
import { createLimitsFilter } from "./filters/limits.ts";
import { createPinFilter } from "./filters/pin.ts";
import { createRetryFilter } from "./filters/retry.ts";
import type { JobWaits } from "./job_waits.ts";
import type { AnswerRecorder } from "./answer_recorder.ts";
import type { ReceivedRequest } from "./types.ts";

export interface RequestChainOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly configuration: ConfigurationView;
  readonly jobs: JobOperations;
  readonly waits: JobWaits;
  readonly records: CallRecords;
  readonly recorder: AnswerRecorder;
  readonly pool: UpstreamPool;
  readonly admissions: Admissions;
  readonly countEntries: () => number;
}

/** Builds the chain; every request passes the filters from top to bottom. */
export function createRequestChain(
  options: RequestChainOptions,
): Handler<ReceivedRequest> {
  const { admissions } = options;
  return FilterChain.create<ReceivedRequest>()
    .use(createPinFilter(options.configuration))
    .use(createIdentifyFilter())
    .use(createAuthoriseFilter())
    .use(createLimitsFilter(options))
    .use(createDispatchJobFilter(options))
    .use(createAdmissionFilter(admissions))
    .use(createDeduplicateFilter(options))
    .use(createRetryFilter(options))
    .end(createAttemptHandler(options));
}
