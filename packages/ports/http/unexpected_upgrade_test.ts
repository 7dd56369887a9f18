import { expect } from "chai";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { HttpClient } from "./http_client.ts";

describe("an HttpClient whose request is answered with an upgrade", () => {
  // Guards against a call without an outcome, and so against a loop that waits for it for ever.
  it("has an outcome", async () => {
    const server = createServer((socket) => {
      socket.on("error", () => {});
      socket.once("data", () =>
        socket.write(
          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
        ));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const client = HttpClient.create(
      { host: "127.0.0.1", port },
      undefined,
      1,
    );
    const exchange = () =>
      Promise.race([
        client.exchange({ method: "POST", path: "/", timeoutMs: 200 }),
        new Promise((resolve) => setTimeout(resolve, 1_500, { kind: "none" })),
      ]);
    const outcomes = [await exchange(), await exchange()];
    client.close();
    server.close();
    for (const outcome of outcomes) {
      expect(outcome).to.include({ kind: "unavailable", effect: "lost" });
    }
  });
});
