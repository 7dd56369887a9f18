/** Filter that finds the caller's organisation and parses the request's headers. */
import type { RequestFilter } from "../filter_chain.ts";
import {
  parseDeclaredNonIdempotent,
  parseRemainingMs,
  parseWaitPreference,
} from "../headers.ts";
import {
  failed,
  type IdentifiedRequest,
  type PinnedRequest,
} from "../types.ts";

export function createIdentifyFilter(): RequestFilter<
  PinnedRequest,
  IdentifiedRequest
> {
  return {
    name: "identify",
    async handle(request, next) {
      const { exchange, configuration } = request;
      const organisation = configuration.declarations.organisations.find(
        (declared) => declared.name === exchange.organisation,
      );
      if (organisation === undefined) return failed("UNAUTHENTICATED");
      return await next({
        ...request,
        organisation,
        wait: parseWaitPreference(exchange.headers),
        remainingMs: parseRemainingMs(exchange.headers),
        declaredNonIdempotent: parseDeclaredNonIdempotent(exchange.headers),
      });
    },
  };
}
