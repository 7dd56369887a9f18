/**
 * Holds each organisation to its declared request rate, concurrent requests and body size. An entry
 * enforces its part of a declared total: the total divided by the entries that are live.
 */
import {
  type Clock,
  MS_PER_SECOND,
  type OrganisationName,
} from "@coltsfootpond/common";
import type { RequestFilter } from "../filter_chain.ts";
import { RATE_BURST_MS, UNREADY_RETRY_AFTER_MS } from "../constants.ts";
import { TokenBucket } from "../token_bucket.ts";
import { type AuthorisedRequest, failed } from "../types.ts";

export interface LimitsOptions {
  readonly clock: Clock;
  /** Live entries that share the callers, this one included. */
  readonly countEntries: () => number;
}

interface OrganisationUse {
  readonly bucket: TokenBucket;
  concurrentRequests: number;
}

export function createLimitsFilter(
  options: LimitsOptions,
): RequestFilter<AuthorisedRequest, AuthorisedRequest> {
  const uses = new Map<OrganisationName, OrganisationUse>();

  function getUse(organisation: OrganisationName): OrganisationUse {
    let use = uses.get(organisation);
    if (use === undefined) {
      use = {
        bucket: TokenBucket.create(options.clock),
        concurrentRequests: 0,
      };
      uses.set(organisation, use);
    }
    return use;
  }

  return {
    name: "limits",
    async handle(request, next) {
      const { organisation, service, exchange } = request;
      if (exchange.body.byteLength > service.maximumBodyBytes) {
        return failed("BODY_TOO_LARGE", {
          detail: `the service takes at most ${service.maximumBodyBytes} bytes`,
        });
      }
      const entries = Math.max(1, options.countEntries());
      const use = getUse(organisation.name);
      const concurrentLimit = Math.ceil(
        organisation.concurrentRequests / entries,
      );
      if (use.concurrentRequests >= concurrentLimit) {
        return failed("CONCURRENCY_LIMITED", {
          retryAfterMs: UNREADY_RETRY_AFTER_MS,
        });
      }
      const tokensPerSecond = organisation.requestsPerSecond / entries;
      const { waitMs } = use.bucket.take({
        tokensPerSecond,
        maximumTokens: Math.max(
          1,
          tokensPerSecond * RATE_BURST_MS / MS_PER_SECOND,
        ),
      });
      if (waitMs > 0) return failed("RATE_LIMITED", { retryAfterMs: waitMs });
      use.concurrentRequests++;
      try {
        return await next(request);
      } finally {
        use.concurrentRequests--;
      }
    },
  };
}
