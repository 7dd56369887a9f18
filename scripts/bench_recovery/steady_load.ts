/**
 * Load generator of the recovery bench: submits a short job every REQUEST_PERIOD_MS, so that every
 * failure domain keeps starting tasks.
 */
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import type { Declarations } from "@coltsfootpond/common";
import { EntryClient } from "../../apps/coltsfootpond/entry_client.ts";
import { getOrganisationToken } from "../demo/example.ts";

/** A job service of the example `lechfeld`. */
const SERVICE = "pressure-check";
const REQUEST_PERIOD_MS = 100;
const TASK_RUN_MS = 300;
const REQUEST_TIMEOUT_MS = 10_000;

/** Where to send the jobs, and the organisations that submit them in turn. */
export interface SteadyLoadOptions {
  readonly declarations: Declarations;
  readonly balancerPort: number;
}

/** Sends the jobs between `start` and `stop`, and counts the accepted and the refused ones. */
export class SteadyLoad {
  readonly #options: SteadyLoadOptions;
  #timer: ReturnType<typeof setInterval> | undefined;
  #sentCount = 0;
  accepted = 0;
  refused = 0;

  private constructor(options: SteadyLoadOptions) {
    this.#options = options;
  }

  static create(options: SteadyLoadOptions): SteadyLoad {
    return new SteadyLoad(options);
  }

  start(): void {
    this.#timer = setInterval(
      () => void this.#sendRequest(),
      REQUEST_PERIOD_MS,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #sendRequest(): Promise<void> {
    const { declarations, balancerPort } = this.#options;
    const index = this.#sentCount++;
    const { organisations } = declarations;
    const organisation = organisations[index % organisations.length];
    if (organisation === undefined) return;
    const requestId = `steady-${index}`;
    const client = EntryClient.create({
      entries: [{ host: "127.0.0.1", port: balancerPort }],
      token: getOrganisationToken(organisation.name),
      timeoutMs: REQUEST_TIMEOUT_MS,
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
      body: Buffer.from(JSON.stringify({ id: requestId, run_ms: TASK_RUN_MS })),
    });
    const isAccepted = outcome.kind === "response" &&
      outcome.response.status < 300;
    if (isAccepted) this.accepted += 1;
    else this.refused += 1;
  }
}
