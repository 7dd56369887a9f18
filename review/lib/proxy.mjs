/**
 * A TCP proxy on a loopback address, as a thing between two ends that loses track of open connections:
 * after `goSilent` nothing passes on those any more and neither end is told, while new ones work.
 */
import { connect, createServer } from "node:net";

export class Proxy {
  #pairs = new Set();
  #server;

  async listen(host, target) {
    const [targetHost, targetPort] = target.split(":");
    this.#server = createServer((client) => {
      const server = connect({ host: targetHost, port: Number(targetPort) });
      const pair = { client, server, isSilent: false };
      this.#pairs.add(pair);
      for (const [from, to] of [[client, server], [server, client]]) {
        from.on("data", (chunk) => {
          if (!pair.isSilent) to.write(chunk);
        });
        from.on("end", () => {
          if (!pair.isSilent) to.end();
        });
        from.on("error", () => {});
        from.on("close", () => {
          if (pair.isSilent) return;
          to.destroy();
          this.#pairs.delete(pair);
        });
      }
    });
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
  }

  get openConnections() {
    return [...this.#pairs].filter(({ isSilent }) => !isSilent).length;
  }

  goSilent() {
    const open = [...this.#pairs].filter(({ isSilent }) => !isSilent);
    for (const pair of open) pair.isSilent = true;
    return open.length;
  }

  close() {
    this.#server?.close();
    for (const { client, server } of this.#pairs) {
      client.destroy();
      server.destroy();
    }
  }
}
