/** Creates the callers' routes of an entry with the upstream pool and the filters that they use. */
import {
  brandId,
  CodedError,
  type EntryName,
  type OrganisationName,
  RESULT,
  type ServiceName,
} from "@coltsfootpond/common";
import type { TablePort } from "@coltsfootpond/ports";
import {
  ACCESS,
  type HttpExchange,
  type HttpReply,
  type Route,
} from "../http/types.ts";
import type {
  ConfigurationView,
  EntryContext,
  FailureDomainView,
  JobOperations,
  MembershipView,
} from "../types.ts";
import {
  BALANCING_POLICY,
  type BalancingPolicy,
} from "../upstreams/balancing/choose_runner.ts";
import { type RunnerStatus, UpstreamPool } from "../upstreams/pool.ts";
import { CallRecords } from "./call_records.ts";
import { CallsInProgress } from "./calls_in_progress.ts";
import type { Handler } from "./filter_chain.ts";
import { Admissions } from "./filters/admission.ts";
import {
  parseRequestId,
  parseRequestKey,
  parseWaitPreference,
} from "./headers.ts";
import { JobWaits } from "./job_waits.ts";
import { createRequestChain } from "./request_chain.ts";
import { AnswerRecorder } from "./answer_recorder.ts";
import { createOutcomeReply } from "./replies.ts";
import { RequestLookup } from "./request_lookup.ts";
import type { ReceivedRequest } from "./types.ts";

export interface RequestRoutesOptions {
  readonly context: EntryContext;
  readonly configuration: ConfigurationView;
  readonly failureDomains: FailureDomainView;
  readonly table: TablePort;
  readonly jobs: JobOperations;
  /** When absent, no other entry shares the runners. */
  readonly membership?: MembershipView;
  readonly balancing?: BalancingPolicy;
}

/** Calls of one service on this entry. */
export interface ServiceLoad {
  readonly service: ServiceName;
  readonly inProgress: number;
  readonly queued: number;
}

/** State of the calls on this entry, read by tests and benches. */
export interface RequestsStatus {
  readonly runners: readonly RunnerStatus[];
  readonly services: readonly ServiceLoad[];
  readonly pendingRecords: number;
}

/** The callers' routes, with the start and stop of their upstream pool and recorder. */
export interface RequestRoutes {
  readonly routes: readonly Route[];
  /** Resolves after the first read of the list of runners. */
  start(): Promise<void>;
  /** Call before the server stops: callers that wait for a job get a 202 at once. */
  releaseWaitingCallers(): void;
  /** Call after the server has stopped: waits for pending records, then closes connections. */
  stop(): Promise<void>;
  describe(): RequestsStatus;
}

function createListEntries(
  options: RequestRoutesOptions,
): () => readonly EntryName[] {
  const self = options.context.identity.entry;
  return () => {
    const members = options.membership?.list() ?? [];
    const others = members
      .filter((member) => !member.self && member.row.state === "live")
      .map(({ entry }) => entry);
    return [self, ...others];
  };
}

function requireOrganisation(exchange: HttpExchange): OrganisationName {
  if (exchange.organisation === undefined) {
    throw CodedError.create("UNAUTHENTICATED");
  }
  return exchange.organisation;
}

/** Emits `request.ended` for each outcome; a job in any state counts as `ACCEPTED`. */
function withEndEvent(
  context: EntryContext,
  handle: Handler<ReceivedRequest>,
): Handler<ReceivedRequest> {
  return async (request) => {
    const outcome = await handle(request);
    const { clock, events } = context;
    const resultName = outcome.kind === "failed"
      ? outcome.resultName
      : outcome.kind === "answered"
      ? "ANSWERED"
      : "ACCEPTED";
    events.emit("request.ended", {
      requestId: request.requestId,
      service: request.serviceName,
      organisation: request.exchange.organisation,
      code: RESULT[resultName].code,
      durationMs: clock.nowMs() - request.exchange.receivedMs,
    });
    return outcome;
  };
}

function createSubmitRoute(
  handle: Handler<ReceivedRequest>,
  calls: CallsInProgress,
): Route {
  async function submit(exchange: HttpExchange): Promise<HttpReply> {
    const organisation = requireOrganisation(exchange);
    const serviceName = brandId<ServiceName>(
      exchange.parameters["service"] ?? "",
    );
    const key = parseRequestKey(exchange.headers);
    const { requestId } = key;
    if (!key.keyed) {
      const outcome = await handle({ exchange, serviceName, ...key });
      return createOutcomeReply(outcome, requestId);
    }
    const cancellation = new AbortController();
    const signal = AbortSignal.any([exchange.signal, cancellation.signal]);
    const outcome = await calls.track(
      organisation,
      requestId,
      { cancel: () => cancellation.abort() },
      () => handle({ exchange: { ...exchange, signal }, serviceName, ...key }),
    );
    return createOutcomeReply(outcome, requestId);
  }
  return {
    method: "POST",
    pattern: "/v1/services/{service}/requests",
    access: ACCESS.ORGANISATION,
    handle: submit,
  };
}

function createLookupRoutes(lookup: RequestLookup): readonly Route[] {
  const pattern = "/v1/requests/{requestId}";
  const access = ACCESS.ORGANISATION;
  return [{
    method: "GET",
    pattern,
    access,
    async handle(exchange) {
      const organisation = requireOrganisation(exchange);
      const requestId = parseRequestId(exchange.parameters["requestId"] ?? "");
      const wait = parseWaitPreference(exchange.headers);
      const outcome = await lookup.get(organisation, requestId, wait);
      return createOutcomeReply(outcome, requestId);
    },
  }, {
    method: "DELETE",
    pattern,
    access,
    async handle(exchange) {
      const organisation = requireOrganisation(exchange);
      const requestId = parseRequestId(exchange.parameters["requestId"] ?? "");
      const outcome = await lookup.cancel(organisation, requestId);
      return createOutcomeReply(outcome, requestId);
    },
  }];
}

/** Called once by the entry. */
export function createRequestRoutes(
  options: RequestRoutesOptions,
): RequestRoutes {
  const { context, configuration, failureDomains, table, jobs } = options;
  const { clock, random, events, platform, identity } = context;
  const listEntries = createListEntries(options);
  const pool = UpstreamPool.create({
    clock,
    random,
    events,
    vms: platform.vms,
    failureDomains,
    self: identity.entry,
    listEntries,
    balancing: options.balancing ?? BALANCING_POLICY.FIXED_SHARES,
  });
  const admissions = Admissions.create({ clock, pool });
  const records = CallRecords.create({ table, objects: platform.objects });
  const recorder = AnswerRecorder.create(clock, events);
  const waits = JobWaits.create({ clock, jobs });
  const calls = CallsInProgress.create();
  const handle = createRequestChain({
    clock,
    random,
    events,
    configuration,
    jobs,
    waits,
    records,
    recorder,
    pool,
    admissions,
    countEntries: () => listEntries().length,
  });
  const lookup = RequestLookup.create({ jobs, records, calls, waits });
  return {
    routes: [
      createSubmitRoute(withEndEvent(context, handle), calls),
      ...createLookupRoutes(lookup),
    ],
    start: () => pool.start(),
    releaseWaitingCallers: () => waits.releaseAll(),
    async stop() {
      await recorder.flush();
      pool.stop();
    },
    describe: () => ({
      runners: pool.list(),
      services: admissions.list().map(([service, admission]) => ({
        service,
        inProgress: admission.inProgress,
        queued: admission.queued,
      })),
      pendingRecords: recorder.pendingCount,
    }),
  };
}
