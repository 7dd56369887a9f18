import { expect } from "chai";
import { HttpClient, type HttpClientRequest } from "./http_client.ts";

const REQUEST: HttpClientRequest = {
  method: "GET",
  path: "/",
  timeoutMs: 500,
};

/** Requests that `node:http` throws on instead of sending them. */
const UNSENDABLE: Readonly<
  Record<string, Partial<HttpClientRequest & { host: string; port: number }>>
> = {
  "a port that is too large": { port: 80_800 },
  "a negative port": { port: -1 },
  "a port with a fraction": { port: 8_080.5 },
  "a port that is no number": { port: Number.NaN },
  "a host with a NUL": { host: "127.0.0.1\0" },
  "a header value with a line break": { headers: { name: "a\r\nb" } },
  "a header value outside latin-1": { headers: { name: "a\u2013b" } },
  "a path with a space": { path: "/a b" },
};

describe("an HttpClient", () => {
  // Guards against a process that ends because a call cannot be made: the exception became a
  // rejection that nobody handled.
  for (const [name, { host, port, ...fields }] of Object.entries(UNSENDABLE)) {
    it(`refuses a request with ${name}`, async () => {
      const client = HttpClient.create({
        host: host ?? "127.0.0.1",
        port: port ?? 1,
      });
      const outcome = await client.exchange({ ...REQUEST, ...fields });
      expect(outcome).to.include({ kind: "unavailable", effect: "refused" });
      client.close();
    });
  }
});
