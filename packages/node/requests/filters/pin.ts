/**
 * Filter that binds a request to the configuration in force when it arrives. It is the first one,
 * because later filters read their limits and rules from this version, also when a newer one comes
 * into force meanwhile.
 */
import type { ConfigurationView } from "../../types.ts";
import type { RequestFilter } from "../filter_chain.ts";
import { MINIMUM_RETRY_AFTER_MS } from "../constants.ts";
import { failed, type PinnedRequest, type ReceivedRequest } from "../types.ts";

export function createPinFilter(
  configuration: ConfigurationView,
): RequestFilter<ReceivedRequest, PinnedRequest> {
  return {
    name: "pin",
    async handle(request, next) {
      const current = configuration.current();
      const retryAfterMs = MINIMUM_RETRY_AFTER_MS;
      if (current === undefined) {
        return failed("NO_CONFIGURATION", { retryAfterMs });
      }
      if (!configuration.isFresh()) {
        return failed("CONFIGURATION_STALE", { retryAfterMs });
      }
      return await next({ ...request, configuration: current });
    },
  };
}
