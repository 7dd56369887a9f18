/** A steady stream of short jobs, so that every failure domain starts tasks all the time. */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import type { Declarations } from "@coltsfootpond/common";
import { EntryClient } from "../../apps/coltsfootpond/entry_client.ts";
import { getOrganisationToken } from "../demo/example.ts";

const SERVICE = "pressure-check";
const PERIOD_MS = 100;
const RUN_MS = 300;
const TIMEOUT_MS = 10_000;

export interface SteadyLoadOptions {
  readonly declarations: Declarations;
  readonly balancerPort: number;
}

export class SteadyLoad {
  readonly #options: SteadyLoadOptions;
  #timer: ReturnType<typeof setInterval> | undefined;
  #sent = 0;
  accepted = 0;
  refused = 0;

  private constructor(options: SteadyLoadOptions) {
    this.#options = options;
  }

  static create(options: SteadyLoadOptions): SteadyLoad {
    return new SteadyLoad(options);
  }

  start(): void {
    this.#timer = setInterval(() => void this.#sendOne(), PERIOD_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #sendOne(): Promise<void> {
    const { declarations, balancerPort } = this.#options;
    const index = this.#sent++;
    const { organisations } = declarations;
    const organisation = organisations[index % organisations.length];
    if (organisation === undefined) return;
    const requestId = `steady-${index}`;
    const client = EntryClient.create({
      entries: [{ host: "127.0.0.1", port: balancerPort }],
      token: getOrganisationToken(organisation.name),
      timeoutMs: TIMEOUT_MS,
      nowMs: () => performance.now(),
    });
    const outcome = await client.send({
      method: "POST",
      path: `/v1/services/${SERVICE}/requests`,
      headers: {
        "content-type": "application/json",
        "idempotency-key": requestId,
        prefer: "wait=0",
      },
      body: Buffer.from(JSON.stringify({ id: requestId, run_ms: RUN_MS })),
    });
    const isAccepted = outcome.kind === "response" &&
      outcome.response.status < 300;
    if (isAccepted) this.accepted += 1;
    else this.refused += 1;
  }
}
