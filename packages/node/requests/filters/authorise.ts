/** Filter that checks that the organisation may call the service, and sets the deadline. */
import type { ServiceDeclaration } from "@coltsfootpond/common";
import type { RequestFilter } from "../filter_chain.ts";
import {
  type AuthorisedRequest,
  failed,
  type IdentifiedRequest,
} from "../types.ts";

function findDeadlineMs(
  request: IdentifiedRequest,
  service: ServiceDeclaration,
): number | undefined {
  const serviceTimeoutMs = service.kind === "call"
    ? service.timeoutMs
    : undefined;
  const remainingMs = request.remainingMs ?? serviceTimeoutMs;
  if (remainingMs === undefined) return undefined;
  const boundedMs = Math.min(remainingMs, serviceTimeoutMs ?? remainingMs);
  return request.exchange.receivedMs + boundedMs;
}

export function createAuthoriseFilter(): RequestFilter<
  IdentifiedRequest,
  AuthorisedRequest
> {
  return {
    name: "authorise",
    async handle(request, next) {
      const { configuration, organisation, serviceName } = request;
      const service = configuration.declarations.services.find(
        (declared) => declared.name === serviceName,
      );
      if (service === undefined) return failed("UNKNOWN_SERVICE");
      const allowed = service.organisations.length === 0 ||
        service.organisations.includes(organisation.name);
      if (!allowed) return failed("FORBIDDEN");
      return await next({
        ...request,
        service,
        idempotent: service.idempotent && !request.declaredNonIdempotent,
        deadlineMs: findDeadlineMs(request, service),
      });
    },
  };
}
