/** HTTP server for the metrics in the Prometheus text format. */
import type { Clock } from "@coltsfootpond/common";
import type { HostPort } from "@coltsfootpond/ports";
import { BoundedServer } from "../../connections/bounded_server.ts";
import { CHECK_LIMITS } from "../../connections/connection_limits.ts";
import { INTERNAL_TIMEOUTS } from "../../connections/connection_pool.ts";
import { BACKGROUND_ACTIVITY } from "../background/activities.ts";
import {
  guardRequestListener,
  type RequestListener,
} from "../background/guarded_request_listener.ts";
import { getBoundPort, listenOn } from "../listen.ts";
import type { CellLog } from "../log.ts";
import type { CellMeters } from "./cell_meters.ts";

export const METRICS_PATH = "/metrics";
const STATUS = { OK: 200, NOT_FOUND: 404, FAILED: 500 } as const;
const { SERVE_METRICS } = BACKGROUND_ACTIVITY;

export interface MetricsServerOptions {
  readonly meters: CellMeters;
  readonly clock: Clock;
  readonly log: CellLog;
}

/** Answers scrapes until closed; never keeps the process alive by itself. */
export class MetricsServer {
  readonly #server: BoundedServer;

  private constructor({ meters, clock, log }: MetricsServerOptions) {
    const listener: RequestListener = async (incoming, response) => {
      incoming.resume();
      if (incoming.url !== METRICS_PATH) {
        response.writeHead(STATUS.NOT_FOUND).end();
        return;
      }
      try {
        const text = await meters.format();
        response.writeHead(STATUS.OK, { "content-type": meters.contentType });
        response.end(text);
      } catch (error) {
        log.warn("metrics.failed", { error: String(error) });
        response.writeHead(STATUS.FAILED).end();
      }
    };
    this.#server = BoundedServer.create({
      limits: CHECK_LIMITS,
      timeouts: INTERNAL_TIMEOUTS,
      clock,
      listener: guardRequestListener(log, SERVE_METRICS, listener),
    });
    this.#server.listening.unref();
  }

  static create(options: MetricsServerOptions): MetricsServer {
    return new MetricsServer(options);
  }

  /** Rejects when the address cannot be bound. */
  listen(address: HostPort): Promise<void> {
    return listenOn(this.#server.listening, address);
  }

  /** The port that the server is bound to. */
  get port(): number {
    return getBoundPort(this.#server.listening);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAll();
  }
}
