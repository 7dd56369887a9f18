/** All routes for operators, and those of health and readiness, which need no authentication. */
import type { Route } from "../http/types.ts";
import { createConfigurationRoutes } from "./configuration_routes.ts";
import { createFailureDomainRoutes } from "./failure_domain_routes.ts";
import { createStatusRoutes } from "./status_routes.ts";
import type { OperatorRouteOptions } from "./types.ts";

export function createOperatorRoutes(
  options: OperatorRouteOptions,
): readonly Route[] {
  return [
    ...createConfigurationRoutes(options),
    ...createFailureDomainRoutes(options),
    ...createStatusRoutes(options),
  ];
}
