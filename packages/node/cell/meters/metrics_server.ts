/** Serves the meters as Prometheus text, for those who scrape them. */
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { HostPort } from "@coltsfootpond/ports";
import type { CellMeters } from "./cell_meters.ts";

export const METRICS_PATH = "/metrics";
const STATUS = { OK: 200, NOT_FOUND: 404 } as const;

export class MetricsServer {
  readonly #server: Server;

  private constructor(meters: CellMeters) {
    this.#server = createServer(async (incoming, response) => {
      incoming.resume();
      if (incoming.url !== METRICS_PATH) {
        response.writeHead(STATUS.NOT_FOUND).end();
        return;
      }
      const text = await meters.format();
      response.writeHead(STATUS.OK, { "content-type": meters.contentType });
      response.end(text);
    });
    // Scrapes must not keep a process alive that has nothing else to do.
    this.#server.unref();
  }

  static create(meters: CellMeters): MetricsServer {
    return new MetricsServer(meters);
  }

  /** Rejects when the address cannot be bound. */
  listen({ host, port }: HostPort): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** The port that was bound. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
