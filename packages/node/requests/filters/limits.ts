/**
 * Filter that enforces the declared request rate and concurrent requests of each organisation, and
 * the body size of the service. Each entry enforces the declared total divided by the live entries.
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
  /** Live entries, this one included, among which declared totals are divided. */
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
