/** A client of a server under test, which sends raw bytes and keeps what it gets. */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import type { AddressInfo, Server } from "node:net";

export const HOST = "127.0.0.1";

export async function listen(server: Server): Promise<number> {
  server.listen(0, HOST);
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

/** Waits until the condition holds. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 2));
}

export class RawClient {
  received = "";
  #isReset = false;
  readonly socket: Socket;

  private constructor(socket: Socket) {
    this.socket = socket;
    socket.on("data", (chunk) => (this.received += chunk.toString("latin1")));
    socket.on("error", () => {});
    socket.once("close", () => (this.#isReset = true));
  }

  static async connect(port: number): Promise<RawClient> {
    const socket = connect({ port, host: HOST, allowHalfOpen: true });
    const client = new RawClient(socket);
    await once(socket, "connect");
    return client;
  }

  /** The server has closed the connection. */
  get isClosed(): boolean {
    return this.#isReset || this.socket.readableEnded;
  }

  send(text: string): void {
    this.socket.write(text, "latin1");
  }

  /** Statuses of the answers so far. */
  get statuses(): readonly number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map((
      [, status],
    ) => Number(status));
  }
}
