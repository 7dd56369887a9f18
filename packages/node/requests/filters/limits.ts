/**
 * Filter that limits each organisation to its declared request rate and number of concurrent
 * requests, and the body to the maximum size of the service. Each entry enforces the organisation's
 * limits divided by the number of live entries.
 */
import {
  type Clock,
  MS_PER_SECOND,
  type OrganisationName,
} from "@coltsfootpond/common";
import type { RequestFilter } from "../filter_chain.ts";
import { MINIMUM_RETRY_AFTER_MS, RATE_BURST_MS } from "../constants.ts";
import { TokenBucket } from "../token_bucket.ts";
import { type AuthorisedRequest, failed } from "../types.ts";

export interface LimitsOptions {
  readonly clock: Clock;
  /** Number of live entries, this one included, among which the declared limits are divided. */
  readonly countEntries: () => number;
}

interface OrganisationUsage {
  readonly bucket: TokenBucket;
  concurrentRequests: number;
}

export function createLimitsFilter(
  options: LimitsOptions,
): RequestFilter<AuthorisedRequest, AuthorisedRequest> {
  const usages = new Map<OrganisationName, OrganisationUsage>();

  function getUsage(organisation: OrganisationName): OrganisationUsage {
    let usage = usages.get(organisation);
    if (usage === undefined) {
      usage = {
        bucket: TokenBucket.create(options.clock),
        concurrentRequests: 0,
      };
      usages.set(organisation, usage);
    }
    return usage;
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
      const usage = getUsage(organisation.name);
      const concurrentLimit = Math.ceil(
        organisation.concurrentRequests / entries,
      );
      if (usage.concurrentRequests >= concurrentLimit) {
        return failed("CONCURRENCY_LIMITED", {
          retryAfterMs: MINIMUM_RETRY_AFTER_MS,
        });
      }
      const tokensPerSecond = organisation.requestsPerSecond / entries;
      const { waitMs } = usage.bucket.take({
        tokensPerSecond,
        maximumTokens: Math.max(
          1,
          tokensPerSecond * RATE_BURST_MS / MS_PER_SECOND,
        ),
      });
      if (waitMs > 0) return failed("RATE_LIMITED", { retryAfterMs: waitMs });
      usage.concurrentRequests++;
      try {
        return await next(request);
      } finally {
        usage.concurrentRequests--;
      }
    },
  };
}
