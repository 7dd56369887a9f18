/** Binds a server of a stand-in. */
import type { AddressInfo, Server } from "node:net";

/** Resolves with the bound port; port 0 takes a free one. */
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
