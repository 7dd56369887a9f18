/** What renewing the leases of a failure domain's workers costs, by the way it is done. */
import type { MeasuredCosts } from "./costs.ts";
import type { Design } from "./design.ts";

/** One renewal of all workers of a failure domain. */
export interface RenewalCost {
  readonly commands: number;
  readonly renewed: number;
  readonly requestBytes: number;
  readonly mechanism: string;
}

export function computeRenewal(
  costs: MeasuredCosts,
  design: Design,
  workers: number,
): RenewalCost {
  const one = costs.bytes("command_renew") + 1;
  const name = costs.bytes("worker_name") + 1;
  switch (design.renewal) {
    case "command_per_worker":
      return {
        commands: workers,
        renewed: workers,
        requestBytes: workers * one,
        mechanism: "one batch, one command per worker",
      };
    case "one_command_with_names":
      return {
        commands: 1,
        renewed: workers,
        requestBytes: one + Math.max(0, workers - 1) * name,
        mechanism: "one command that names all workers",
      };
    case "one_command_for_all":
      return {
        commands: 1,
        renewed: 1,
        requestBytes: one,
        mechanism: "one command for all",
      };
  }
}
