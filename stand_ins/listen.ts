/** Opens the listening sockets of the stand-ins. */
import type { AddressInfo, Server } from "node:net";

/** Resolves with the bound port; port 0 binds a free one. Rejects when the port is in use. */
export function listenOn(
  server: Server,
  host: string,
  port: number,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}
