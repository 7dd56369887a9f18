/**
 * Program of one entry's callers' side: the HTTP server, filter chain and upstream pool, with a table
 * and an object store in memory. Each balancing way listens on a port of its own.
 */
import { createHash } from "node:crypto";
import process from "node:process";
import {
  brandId,
  createUniqueId,
  type Declarations,
  type Digest,
  NULL_EVENT_SINK,
  SeededRandom,
  SystemClock,
} from "@coltsfootpond/common";
import {
  BALANCING_POLICY,
  type BalancingPolicy,
  type ConfigurationView,
  createAuthenticate,
  createRequestRoutes,
  type FailureDomainView,
  HttpServer,
  type MembershipView,
} from "@coltsfootpond/node";
import {
  FaultInjector,
  FaultyTable,
  MemoryObjects,
  MemoryTable,
  type PlatformPorts,
  type VmRecord,
} from "@coltsfootpond/ports";
import { NEVER } from "rxjs";
import { serveCommands } from "./json_lines.ts";
import {
  type DeploymentShape,
  type EntryCommand,
  type EntryReply,
  SERVICE,
  TOKENS,
} from "./options.ts";

type StartCommand = Extract<EntryCommand, { readonly kind: "start" }>;

const clock = SystemClock.create();
const faults = FaultInjector.create(clock);
const domainsOut = new Set<string>();

function digestToken(token: string): Digest {
  return brandId<Digest>(createHash("sha256").update(token).digest("hex"));
}

function createDeclarations(shape: DeploymentShape): Declarations {
  return {
    operatorTokenDigests: [],
    organisations: TOKENS.map((token) => ({
      name: brandId(`organisation-of-${token}`),
      tokenDigest: digestToken(token),
      weight: 1,
      quota: { milliprocessors: 0, memoryMib: 0, accelerators: 0 },
      requestsPerSecond: 1_000_000,
      concurrentRequests: 1_000_000,
      queuedJobs: 0,
    })),
    guarantees: [],
    services: [{
      kind: "call",
      name: brandId(SERVICE),
      organisations: [],
      idempotent: true,
      maximumBodyBytes: 65_536,
      timeoutMs: shape.timeoutMs,
      progressTimeoutMs: shape.progressTimeoutMs,
      slotsPerRunner: shape.slots,
      retryBudgetShare: 0.2,
    }],
    failureDomains: [],
  };
}

function createConfiguration(shape: DeploymentShape): ConfigurationView {
  const declarations = createDeclarations(shape);
  const head = {
    version: 1,
    digest: brandId<Digest>(""),
    chunks: [],
    acceptedBy: brandId<never>(""),
  };
  const active = { version: 1, head, declarations };
  return {
    current: () => active,
    changes: NEVER,
    confirmedAgeMs: () => 0,
    isFresh: () => true,
  };
}

const FAILURE_DOMAINS: FailureDomainView = {
  get: (failureDomain) => ({
    failureDomain,
    state: domainsOut.has(failureDomain) ? "out" : "in",
    version: 1,
    provisional: false,
  }),
  list: () => [],
  changes: NEVER,
};

function createMembership(command: StartCommand): MembershipView {
  const members = command.entries.map((entry) => ({
    entry: brandId<never>(entry),
    row: {
      incarnation: brandId<never>(""),
      host: "",
      httpPort: 0,
      meshPort: 0,
      region: "",
      state: "live" as const,
      beat: 0,
    },
    connected: true,
    self: entry === command.entry,
  }));
  return { list: () => members, changes: NEVER };
}

function createPlatform(command: StartCommand): PlatformPorts {
  const vms: VmRecord[] = command.runners.map((runner) => ({
    ...runner,
    role: "runner",
    state: "live",
    host: "127.0.0.1",
    service: SERVICE,
    slots: command.shape.slots,
  }));
  return {
    table: FaultyTable.create(MemoryTable.create(), faults),
    objects: MemoryObjects.create(),
    vms: { list: () => Promise.resolve({ kind: "list", vms }) },
  } as Partial<PlatformPorts> as PlatformPorts;
}

async function startWay(
  command: StartCommand,
  balancing: BalancingPolicy,
): Promise<number> {
  const platform = createPlatform(command);
  const configuration = createConfiguration(command.shape);
  const front = createRequestRoutes({
    context: {
      identity: {
        entry: brandId(command.entry),
        incarnation: brandId(createUniqueId()),
        region: brandId("region"),
        failureDomain: brandId(command.shape.failureDomains[0] ?? ""),
      },
      clock,
      random: SeededRandom.create(command.seed),
      events: NULL_EVENT_SINK,
      platform,
    },
    configuration,
    failureDomains: FAILURE_DOMAINS,
    table: platform.table,
    jobs: {} as never,
    membership: createMembership(command),
    balancing,
  });
  await front.start();
  const server = HttpServer.create({
    routes: front.routes,
    authenticate: createAuthenticate({
      configuration,
      bootstrapOperatorTokenDigests: [],
    }),
    clock,
    events: NULL_EVENT_SINK,
  });
  return (await server.listen({ host: "127.0.0.1", port: 0 })).port;
}

async function start(command: StartCommand): Promise<EntryReply> {
  const ports: Partial<Record<BalancingPolicy, number>> = {};
  for (const way of Object.values(BALANCING_POLICY)) {
    ports[way] = await startWay(command, way);
  }
  return { kind: "started", ports: ports as Record<BalancingPolicy, number> };
}

await serveCommands<EntryCommand, EntryReply>(async (command) => {
  switch (command.kind) {
    case "start":
      return await start(command);
    case "domain":
      if (command.state === "out") domainsOut.add(command.failureDomain);
      else domainsOut.delete(command.failureDomain);
      return { kind: "done" };
    case "table":
      faults.down = command.down;
      return { kind: "done" };
    case "usage": {
      const { user, system } = process.cpuUsage();
      const processorMs = (user + system) / 1_000;
      const residentBytes = process.memoryUsage().rss;
      return { kind: "usage", processorMs, residentBytes };
    }
  }
});
