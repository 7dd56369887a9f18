/** Tests of the operators' routes over fake controllers: access, preconditions and replies. */
import { Buffer } from "node:buffer";
import {
  brandId,
  EventRing,
  ManualClock,
  SeededRandom,
} from "@coltsfootpond/common";
import { MemoryObjects, MemoryTable } from "@coltsfootpond/ports";
import { expect } from "chai";
import { EMPTY, NEVER } from "rxjs";
import type { HttpExchange, HttpReply } from "../http/types.ts";
import { Router } from "../http/router.ts";
import { Meters } from "../meters/meters.ts";
import type { JobLookup } from "../types.ts";
import { createOperatorRoutes } from "./operator_routes.ts";
import type { OperatorRouteOptions, Readiness } from "./types.ts";

const HEAD = {
  version: 4,
  digest: brandId<never>("d".repeat(64)),
  chunks: [{ name: "a.toml", digest: brandId<never>("a".repeat(64)) }],
  acceptedBy: brandId<never>("entry-2"),
};
const DOMAIN = {
  failureDomain: brandId<never>("landsberg"),
  state: "out",
  version: 7,
  provisional: false,
} as const;
const JOB: JobLookup = {
  kind: "found",
  status: {
    jobId: brandId("desk/r1"),
    state: "queued",
    failureDomain: brandId("landsberg"),
    waitReason: "quota",
    answer: Buffer.from("abc"),
  },
};

interface RecordedCall {
  readonly kind: string;
  readonly request: unknown;
}

/** Creates routes over fake controllers that record their calls and return the given replies. */
function createFixture(replies: {
  readonly apply?: object;
  readonly change?: object;
  readonly job?: JobLookup;
  readonly readiness?: Readiness;
} = {}) {
  const clock = ManualClock.create();
  const recorded: RecordedCall[] = [];
  const events = EventRing.create({
    clock,
    process: "entry-1",
    incarnation: "i1",
    capacity: 8,
  });
  const answer = (kind: string, reply: unknown) => (request: unknown) => {
    recorded.push({ kind, request });
    return Promise.resolve(reply as never);
  };
  const getJob = () => Promise.resolve(replies.job ?? JOB);
  const options: OperatorRouteOptions = {
    context: {
      identity: {
        entry: brandId("entry-1"),
        incarnation: brandId("i1"),
        region: brandId("bavaria"),
        failureDomain: brandId("landsberg"),
      },
      clock,
      random: SeededRandom.create(1),
      events,
      platform: {
        table: MemoryTable.create(),
        objects: MemoryObjects.create(),
      } as never,
    },
    configuration: {
      current: () => ({ version: 4, head: HEAD, declarations: {} as never }),
      changes: NEVER,
      confirmedAgeMs: () => 120,
      isFresh: () => true,
      apply: answer(
        "apply",
        replies.apply ?? { kind: "accepted", head: HEAD },
      ),
    },
    failureDomains: {
      get: () => DOMAIN,
      list: () => [DOMAIN],
      changes: EMPTY,
      change: answer(
        "change",
        replies.change ?? {
          kind: "changed",
          status: DOMAIN,
          durable: false,
          inForceEntries: ["entry-1"],
          registeredEntries: 3,
          ownerAcknowledged: false,
        },
      ),
    },
    membership: { list: () => [], changes: EMPTY },
    ownership: {
      listOwned: () => [{ failureDomain: DOMAIN.failureDomain, epoch: 2 }],
      mayAct: () => true,
      getOwner: () => brandId("entry-1"),
      changes: EMPTY,
    },
    summaries: { get: () => undefined },
    jobs: {
      submit: () => Promise.reject(new Error("not used")),
      get: getJob,
      cancel: getJob,
      waitForEnd: getJob,
    },
    events,
    meters: Meters.create({ clock, readUsage: () => ZERO_USAGE }),
    getReadiness: () => replies.readiness ?? { kind: "ready" },
  };
  return { recorded, events, routes: createOperatorRoutes(options) };
}

const ZERO_USAGE = { processorMs: 0, residentBytes: 0 };

interface RequestParts {
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

async function send(
  routes: ReturnType<typeof createFixture>["routes"],
  method: string,
  url: string,
  { headers = {}, body = "" }: RequestParts = {},
): Promise<HttpReply> {
  const { pathname, searchParams } = new URL(url, "http://entry");
  const match = Router.create(routes).find(method, pathname);
  const exchange: HttpExchange = {
    method,
    path: pathname,
    parameters: match.parameters,
    query: searchParams,
    headers,
    body: Buffer.from(body),
    receivedMs: 0,
    signal: new AbortController().signal,
  };
  return await match.route.handle(exchange);
}

function formatReply({ status, headers, body }: HttpReply): object {
  const text = Buffer.from(body).toString();
  const json = headers["content-type"]?.includes("json") === true;
  return { status, headers, body: json ? JSON.parse(text) : text };
}

const FILES = JSON.stringify({ files: [{ name: "a.toml", text: "x = 1" }] });

describe("operators' routes", () => {
  it("require operator access, except for health and readiness", () => {
    const { routes } = createFixture();
    expect(
      routes.map(({ method, pattern, access }) =>
        `${method} ${pattern} ${access}`
      ),
    ).toMatchSnapshot();
  });

  it("apply a set of files only with the version it is based on", async () => {
    const { routes, recorded } = createFixture();
    const put = (entityTag: string | undefined, body: string) =>
      send(routes, "PUT", "/v1/configuration", {
        headers: entityTag === undefined ? {} : { "if-match": entityTag },
        body,
      });
    const seen = [
      await put('"3"', FILES),
      await put(undefined, FILES),
      await put("*", FILES),
      await put('W/"3"', FILES),
      await put('"3"', "{"),
      await put('"3"', '{"files":[]}'),
      await put('"3"', '{"files":[{"name":"a.toml","text":1}]}'),
      await put('"3"', FILES.replace("files", "file")),
    ];
    expect(seen.map(({ status }) => status))
      .to.deep.equal([200, 428, 428, 428, 400, 400, 400, 400]);
    expect(seen[0]?.headers["etag"]).to.equal('"4"');
    expect(recorded).to.deep.equal([{
      kind: "apply",
      request: { files: [{ name: "a.toml", text: "x = 1" }], baseVersion: 3 },
    }]);
  });

  it("report the conflicting version or all problems of a refused apply", async () => {
    const refusals = [
      {
        kind: "refused",
        resultName: "CONFIGURATION_CONFLICT",
        problems: [],
        winner: HEAD,
      },
      {
        kind: "refused",
        resultName: "CONFIGURATION_INVALID",
        problems: [
          { fileName: "a.toml", message: "first" },
          { message: "second" },
        ],
      },
    ];
    const seen: object[] = [];
    for (const apply of refusals) {
      const { routes } = createFixture({ apply });
      const headers = { "if-match": '"3"' };
      seen.push(formatReply(
        await send(routes, "PUT", "/v1/configuration", {
          headers,
          body: FILES,
        }),
      ));
    }
    expect(seen).toMatchSnapshot();
  });

  it("take a failure domain out of service and back, and report where it is in force", async () => {
    const { routes, recorded } = createFixture();
    const out = await send(
      routes,
      "POST",
      "/v1/failure-domains/landsberg/out",
      {
        headers: { "if-match": '"6"' },
      },
    );
    await send(routes, "POST", "/v1/failure-domains/landsberg/in");
    const refused = createFixture({
      change: {
        kind: "refused",
        resultName: "DOMAIN_CONFLICT",
        status: DOMAIN,
      },
    });
    const conflict = await send(
      refused.routes,
      "POST",
      "/v1/failure-domains/landsberg/in",
    );
    expect([formatReply(out), formatReply(conflict), recorded])
      .toMatchSnapshot();
  });

  it("show status, one job, the timeline, readiness and metrics", async () => {
    const { routes, events } = createFixture();
    events.emit("job.placed", { requestId: "r1" });
    events.emit("job.ended", { requestId: "r1" });
    const urls = [
      "/v1/configuration",
      "/v1/failure-domains",
      "/v1/status?job=desk/r1",
      "/v1/timeline?from=1",
      "/healthz",
      "/readyz",
    ];
    const seen: object[] = [];
    for (const url of urls) {
      seen.push(formatReply(await send(routes, "GET", url)));
    }
    expect(seen).toMatchSnapshot();
    const metrics = await send(routes, "GET", "/v1/metrics");
    expect(Buffer.from(metrics.body).toString()).to.contain("# TYPE");
  });

  it("refuse malformed queries, and report unknown requests and an unready entry", async () => {
    const { routes } = createFixture({ job: { kind: "absent" } });
    const notReady = createFixture({
      readiness: { kind: "not_ready", reason: "stopping" },
    });
    const replies = [
      await send(routes, "GET", "/v1/status?job=desk"),
      await send(routes, "GET", "/v1/status?job=desk/r9"),
      await send(routes, "GET", "/v1/timeline?from=-1"),
      await send(routes, "GET", "/v1/timeline?from=x"),
      await send(notReady.routes, "GET", "/readyz"),
    ];
    expect(replies.map(({ status }) => status))
      .to.deep.equal([400, 404, 400, 400, 503]);
  });
});
