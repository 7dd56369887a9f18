/** Routes that report an entry's own state: status, timeline, metrics, health and readiness. */
import { brandId } from "@coltsfootpond/common";
import { createProblemReply } from "../http/problem.ts";
import {
  ACCESS,
  type HttpExchange,
  type HttpReply,
  type Route,
} from "../http/types.ts";
import { formatPrometheus } from "../meters/prometheus.ts";
import type { JobLookup } from "../types.ts";
import { describeFailureDomains } from "./failure_domain_routes.ts";
import { createJsonReply, createTextReply } from "./replies.ts";
import type { OperatorRouteOptions } from "./types.ts";

const PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
const PLAIN_TEXT = "text/plain; charset=utf-8";

function describeEntry(options: OperatorRouteOptions): object {
  const { identity } = options.context;
  const active = options.configuration.current();
  return {
    ...identity,
    configuration: {
      version: active?.version ?? 0,
      confirmedAgeMs: options.configuration.confirmedAgeMs(),
      fresh: options.configuration.isFresh(),
    },
    readiness: options.getReadiness(),
    members: options.membership.list().map((member) => ({
      entry: member.entry,
      connected: member.connected,
      self: member.self,
      ...member.row,
    })),
    failureDomains: describeFailureDomains(options),
    held: options.ownership.listOwned(),
  };
}

/** The status of a job, with the length of its answer in place of the answer. */
function describeJob(lookup: JobLookup): object | undefined {
  if (lookup.kind !== "found") return undefined;
  const { answer, ...status } = lookup.status;
  return { ...status, answerBytes: answer?.byteLength };
}

async function getStatus(
  options: OperatorRouteOptions,
  exchange: HttpExchange,
): Promise<HttpReply> {
  const status = describeEntry(options);
  const job = exchange.query.get("job");
  if (job === null) return createJsonReply(status);
  const [organisation, requestId] = job.split("/", 2);
  if (!organisation || !requestId) {
    return createProblemReply("MALFORMED", {
      detail: "expected job=ORGANISATION/REQUEST_ID",
    });
  }
  const lookup = await options.jobs.get(
    brandId(organisation),
    brandId(requestId),
  );
  if (lookup.kind === "absent") {
    return createProblemReply("UNKNOWN_REQUEST", { detail: job });
  }
  if (lookup.kind === "unavailable") {
    return createProblemReply(lookup.resultName);
  }
  return createJsonReply({ ...status, job: describeJob(lookup) });
}

/** `nowMs` lets a reader convert the times of this process's clock to its own. */
function getTimeline(
  options: OperatorRouteOptions,
  exchange: HttpExchange,
): HttpReply {
  const from = Number(exchange.query.get("from") ?? "0");
  if (!Number.isSafeInteger(from) || from < 0) {
    return createProblemReply("MALFORMED", {
      detail: "expected from=SEQUENCE, a whole number",
    });
  }
  const { identity, clock } = options.context;
  return createJsonReply({
    process: identity.entry,
    incarnation: identity.incarnation,
    nowMs: clock.nowMs(),
    events: options.events.list(from),
  });
}

function getReady(options: OperatorRouteOptions): HttpReply {
  const readiness = options.getReadiness();
  return readiness.kind === "ready"
    ? createTextReply("ready\n", PLAIN_TEXT)
    : createTextReply(`not ready: ${readiness.reason}\n`, PLAIN_TEXT, 503);
}

export function createStatusRoutes(
  options: OperatorRouteOptions,
): readonly Route[] {
  return [
    {
      method: "GET",
      pattern: "/v1/status",
      access: ACCESS.OPERATOR,
      handle: (exchange) => getStatus(options, exchange),
    },
    {
      method: "GET",
      pattern: "/v1/timeline",
      access: ACCESS.OPERATOR,
      handle: (exchange) => Promise.resolve(getTimeline(options, exchange)),
    },
    {
      method: "GET",
      pattern: "/v1/metrics",
      access: ACCESS.OPERATOR,
      handle: () =>
        Promise.resolve(
          createTextReply(
            formatPrometheus(options.meters.snapshot()),
            PROMETHEUS_CONTENT_TYPE,
          ),
        ),
    },
    {
      method: "GET",
      pattern: "/healthz",
      access: ACCESS.PUBLIC,
      handle: () => Promise.resolve(createTextReply("ok\n", PLAIN_TEXT)),
    },
    {
      method: "GET",
      pattern: "/readyz",
      access: ACCESS.PUBLIC,
      handle: () => Promise.resolve(getReady(options)),
    },
  ];
}
