/** Helpers to bind servers. */
import type { AddressInfo, Server } from "node:net";
import type { HostPort } from "@coltsfootpond/ports";

/** Resolves when the server listens; rejects when the address cannot be bound. */
export function listenOn(
  server: Server,
  { host, port }: HostPort,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => resolve());
  });
}

/** The port that a listening server is bound to. */
export function getBoundPort(server: Server): number {
  return (server.address() as AddressInfo).port;
}
