/** Computes the size of a lease renewal for all workers of a failure domain, by renewal scheme. */
import type { MeasuredCosts } from "./costs.ts";
import type { Design } from "./design.ts";

/** Cost of one renewal of all workers of a failure domain. */
export interface RenewalCost {
  readonly commands: number;
  /** Items in the batch, each of which takes the processor time of one lease renewal. */
  readonly renewed: number;
  /** Encoded size of the commands, with the comma after each. */
  readonly requestBytes: number;
  readonly mechanism: string;
}

/** Cost of the scheme that the design uses. */
export function computeRenewal(
  costs: MeasuredCosts,
  design: Design,
  workers: number,
): RenewalCost {
  const commandBytes = costs.bytes("command_renew") + 1;
  const name = costs.bytes("worker_name") + 1;
  switch (design.renewal) {
    case "command_per_worker":
      return {
        commands: workers,
        renewed: workers,
        requestBytes: workers * commandBytes,
        mechanism: "one batch, one command per worker",
      };
    case "one_command_with_names":
      return {
        commands: 1,
        renewed: workers,
        requestBytes: commandBytes + Math.max(0, workers - 1) * name,
        mechanism: "one command that names all workers",
      };
    case "one_command_for_all":
      return {
        commands: 1,
        renewed: 1,
        requestBytes: commandBytes,
        mechanism: "one command for all",
      };
  }
}
