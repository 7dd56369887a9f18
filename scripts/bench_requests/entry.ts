/**
 * Program of one entry for the bench: HTTP server, request filters and upstream pool, with a table
 * service and an object store in memory. Serves each balancing policy on a separate port and executes
 * the commands that it reads from standard input.
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

type StartEntryCommand = Extract<EntryCommand, { readonly kind: "start" }>;

const clock = SystemClock.create();
const faults = FaultInjector.create(clock);
/** Names of the failure domains that commands took out of service. */
const domainsOutOfService = new Set<string>();

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
    state: domainsOutOfService.has(failureDomain) ? "out" : "in",
    version: 1,
    provisional: false,
  }),
  list: () => [],
  changes: NEVER,
};

function createMembership(command: StartEntryCommand): MembershipView {
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

/** The platform of the entry: its VM list is fixed, and `faults` can take its table service down. */
function createPlatform(command: StartEntryCommand): PlatformPorts {
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

/** Starts the request routes and HTTP server of one balancing policy; returns the port. */
async function startHttpServer(
  command: StartEntryCommand,
  balancing: BalancingPolicy,
): Promise<number> {
  const platform = createPlatform(command);
  const configuration = createConfiguration(command.shape);
  const requestRoutes = createRequestRoutes({
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
  await requestRoutes.start();
  const server = HttpServer.create({
    routes: requestRoutes.routes,
    authenticate: createAuthenticate({
      configuration,
      bootstrapOperatorTokenDigests: [],
    }),
    clock,
    events: NULL_EVENT_SINK,
  });
  return (await server.listen({ host: "127.0.0.1", port: 0 })).port;
}

async function start(command: StartEntryCommand): Promise<EntryReply> {
  const ports: Partial<Record<BalancingPolicy, number>> = {};
  for (const policy of Object.values(BALANCING_POLICY)) {
    ports[policy] = await startHttpServer(command, policy);
  }
  return { kind: "started", ports: ports as Record<BalancingPolicy, number> };
}

await serveCommands<EntryCommand, EntryReply>(async (command) => {
  switch (command.kind) {
    case "start":
      return await start(command);
    case "domain":
      if (command.state === "out") {
        domainsOutOfService.add(command.failureDomain);
      } else domainsOutOfService.delete(command.failureDomain);
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
