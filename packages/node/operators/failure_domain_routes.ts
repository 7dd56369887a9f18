/**
 * Operators' routes `GET /v1/failure-domains` and `POST /v1/failure-domains/{name}/out|in`, which
 * takes a failure domain out of service or puts it back into service.
 */
import { assertNever, brandId } from "@coltsfootpond/common";
import { createProblemReply } from "../http/problem.ts";
import {
  ACCESS,
  type HttpExchange,
  type HttpReply,
  type Route,
} from "../http/types.ts";
import { FAILURE_DOMAIN_STATE, type FailureDomainState } from "../rows.ts";
import { createJsonReply, formatEntityTag, parseEntityTag } from "./replies.ts";
import type { OperatorRouteOptions } from "./types.ts";

/** `If-Match` is optional: without it the change applies to any current version. */
async function changeDomain(
  options: OperatorRouteOptions,
  { parameters, headers }: HttpExchange,
  state: FailureDomainState,
): Promise<HttpReply> {
  const outcome = await options.failureDomains.change({
    failureDomain: brandId(parameters["name"] ?? ""),
    state,
    baseVersion: parseEntityTag(headers["if-match"]),
  });
  switch (outcome.kind) {
    case "changed": {
      const { status, durable, ownerAcknowledged, inForceEntries } = outcome;
      return createJsonReply({
        ...status,
        binding: outcome.binding,
        durable,
        ownerAcknowledged,
        inForceEntries,
        registeredEntries: outcome.registeredEntries,
      }, { etag: formatEntityTag(status.version) });
    }
    case "refused":
      return createProblemReply(outcome.resultName, {
        detail: outcome.status &&
          `${outcome.status.failureDomain} is ${outcome.status.state}, ` +
            `version ${outcome.status.version}`,
      });
    default:
      return assertNever(outcome);
  }
}

/** Lists each failure domain with its state, its owner and the owner's latest summary. */
export function describeFailureDomains(
  options: OperatorRouteOptions,
): readonly object[] {
  return options.failureDomains.list().map((status) => ({
    ...status,
    owner: options.ownership.getOwner(status.failureDomain),
    summary: options.summaries.get(status.failureDomain),
  }));
}

export function createFailureDomainRoutes(
  options: OperatorRouteOptions,
): readonly Route[] {
  const changes = Object.values(FAILURE_DOMAIN_STATE).map((state): Route => ({
    method: "POST",
    pattern: `/v1/failure-domains/{name}/${state}`,
    access: ACCESS.OPERATOR,
    handle: (exchange) => changeDomain(options, exchange, state),
  }));
  return [{
    method: "GET",
    pattern: "/v1/failure-domains",
    access: ACCESS.OPERATOR,
    handle: () =>
      Promise.resolve(
        createJsonReply({ failureDomains: describeFailureDomains(options) }),
      ),
  }, ...changes];
}
