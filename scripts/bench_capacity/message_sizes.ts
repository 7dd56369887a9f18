/** Measures the encoded sizes of the messages between entries and between an entry and the platform. */
import {
  brandId,
  type Digest,
  type EntryName,
  type FailureDomainName,
  type Incarnation,
  type JsonValue,
  type WriteId,
} from "@coltsfootpond/common";
import type {
  ConfigurationChunk,
  ConfigurationHeadRow,
  EntryRow,
  FailureDomainRow,
  MeshMessage,
  OwnerRow,
} from "@coltsfootpond/node";
import type {
  CommandBatch,
  TableRow,
  VmRecord,
  WorkerCommand,
} from "@coltsfootpond/ports";
import { Buffer } from "node:buffer";
import { encodeMessage } from "../../packages/node/mesh/codec.ts";
import {
  createDeclarationFiles,
  createDigest,
  createJobId,
  createJobTableRow,
  createTaskReport,
  createWorker,
  createWorkerName,
  FAILURE_DOMAIN,
} from "./fixtures.ts";
import { TARGET } from "./target.ts";
import type { MessageSize } from "./types.ts";

const ENTRY = brandId<EntryName>("entry-bavaria-07");
const INCARNATION = brandId<Incarnation>("0123456789abcdef".repeat(2));
const WRITE_ID = brandId<WriteId>("0123456789abcdef".repeat(2));

/** A heartbeat with sequence and version numbers as large as after some weeks. */
export const HEARTBEAT: MeshMessage = {
  kind: "heartbeat",
  sequence: 4_000_000,
  configurationVersion: 120_000,
  configurationAgeMs: 1_234.567,
  tableReachable: true,
  holdings: [{ failureDomain: FAILURE_DOMAIN, epoch: 4_000 }],
  leaving: false,
  membersVersion: 9_000,
  factsDigest: 0xfedcba98,
  settled: true,
};

const MESH_MESSAGES: readonly MeshMessage[] = [
  HEARTBEAT,
  { kind: "configuration_accepted", version: 120_000 },
  {
    kind: "domain_changed",
    failureDomain: FAILURE_DOMAIN,
    state: "out",
    version: 300,
    provisional: false,
  },
  {
    kind: "domain_acknowledged",
    failureDomain: FAILURE_DOMAIN,
    version: 300,
  },
  {
    kind: "domain_summary",
    failureDomain: FAILURE_DOMAIN,
    epoch: 4_000,
    summary: {
      freeAccelerators: 117,
      totalAccelerators: 365,
      largestRackFreeAccelerators: 64,
      largestRackUnreservedAccelerators: 64,
      largestPartlyFreeAccelerators: 7,
      openingLoss: 16.16,
      freeMilliprocessors: 12_345_678,
      queuedJobs: 479,
      queuedAccelerators: 11_496,
      runningTasks: 2_858,
    },
  },
  { kind: "ownership_released", failureDomain: FAILURE_DOMAIN, epoch: 4_000 },
  {
    kind: "job_submitted",
    failureDomain: FAILURE_DOMAIN,
    jobId: createJobId(1),
  },
  { kind: "job_ended", failureDomain: FAILURE_DOMAIN, jobId: createJobId(1) },
];

const TASK = createTaskReport(1).task;
const PAYLOAD = "x".repeat(200);

const COMMANDS: readonly WorkerCommand[] = [
  { kind: "renew", workers: [createWorkerName(277)], leaseMs: 20_000 },
  {
    kind: "hold",
    worker: createWorkerName(277),
    task: TASK,
    resources: createTaskReport(1).resources,
    ttlMs: 5_000,
  },
  {
    kind: "start",
    worker: createWorkerName(277),
    task: TASK,
    leaseMs: 20_000,
    gangTasks: 24,
    adjacency: "rack",
    payload: PAYLOAD,
  },
  { kind: "stop", worker: createWorkerName(277), task: TASK },
];

function createRow(key: string, value: object): TableRow {
  return {
    key,
    version: 120_000,
    writeId: WRITE_ID,
    value: JSON.parse(JSON.stringify(value)) as JsonValue,
  };
}

const HEAD_ROW: ConfigurationHeadRow = {
  version: 120_000,
  digest: createDigest("head"),
  acceptedBy: ENTRY,
};

function createConfigurationList(): readonly ConfigurationChunk[] {
  const files = createDeclarationFiles({
    organisations: TARGET.organisations,
    failureDomains: TARGET.failureDomains,
    workers: TARGET.workers,
  });
  return files.map(({ name, text }) => ({ name, digest: createDigest(text) }));
}

function measureRows(): readonly MessageSize[] {
  const entry: EntryRow = {
    incarnation: INCARNATION,
    host: "10.20.30.40",
    httpPort: 8_080,
    meshPort: 8_081,
    region: "bavaria",
    state: "live",
    beat: 4_000_000,
  };
  const owner: OwnerRow = {
    entry: ENTRY,
    incarnation: INCARNATION,
    epoch: 4_000,
    beat: 4_000_000,
    released: false,
  };
  const domain: FailureDomainRow = { state: "in", version: 300 };
  return [
    measureJson("entry_row", createRow(`entry/${ENTRY}`, entry)),
    measureJson("owner_row", createRow(`owner/${FAILURE_DOMAIN}`, owner)),
    measureJson("domain_row", createRow(`domain/${FAILURE_DOMAIN}`, domain)),
    measureJson("head_row", createRow("config/head", HEAD_ROW)),
    measureJson("configuration_list", createConfigurationList()),
    measureJson("job_row_24_tasks", createJobTableRow(1, 24)),
    measureJson("job_row_256_tasks", createJobTableRow(1, 256)),
  ];
}

function measureFleet(): readonly MessageSize[] {
  const batch: CommandBatch = {
    failureDomain: brandId<FailureDomainName>(FAILURE_DOMAIN),
    epoch: 4_000,
    entry: ENTRY,
    commands: [],
  };
  const request = {
    failureDomain: FAILURE_DOMAIN,
    sinceRevision: 12_345_678,
    forget: [],
  };
  const report = { revision: 12_345_678, workers: [], tasks: [] };
  return [
    measureJson("command_batch_empty", batch),
    ...COMMANDS.map((command) =>
      measureJson(`command_${command.kind}`, command)
    ),
    measureJson("worker_name", createWorkerName(277)),
    measureJson("command_status", "done"),
    measureJson("report_request", request),
    measureJson("report_empty", { kind: "report", report }),
    measureJson("task_report", createTaskReport(1)),
    measureJson("worker_report", { ...createWorker(277), state: "up" }),
  ];
}

/** A typical record of the VM list. */
export const VM_RECORD: VmRecord = {
  name: "runner-bavaria-landsberg-017",
  role: "runner",
  state: "live",
  host: "10.20.30.40",
  port: 8_080,
  service: "quoting",
  failureDomain: FAILURE_DOMAIN,
  slots: 8,
};

function measureOthers(): readonly MessageSize[] {
  const files = createDeclarationFiles({
    organisations: 1,
    failureDomains: 1,
    workers: Math.ceil(TARGET.workers / TARGET.failureDomains),
  });
  const transaction = {
    writeId: WRITE_ID,
    conditions: [{ kind: "version", key: "owner/x", version: 120_000 }],
    writes: [],
  };
  return [
    measureJson("vm_record", VM_RECORD),
    measureJson("table_read_request", { keys: ["config/head"] }),
    measureJson("table_rows_empty", { kind: "rows", rows: [] }),
    measureJson("table_transaction_empty", transaction),
    ...files.slice(1).map((file) => ({
      name: file.name.startsWith("organisation")
        ? "organisation_file"
        : "failure_domain_file",
      bytes: Buffer.byteLength(file.text),
    })),
    measureJson("member_index_entry", [ENTRY]),
    { name: "digest", bytes: Buffer.byteLength(createDigest("x") as Digest) },
  ];
}

function measureJson(name: string, content: object | string): MessageSize {
  return { name, bytes: Buffer.byteLength(JSON.stringify(content)) };
}

/** Sizes in bytes, without WebSocket framing, HTTP headers and TCP/IP headers. */
export function measureMessageSizes(): readonly MessageSize[] {
  return [
    ...MESH_MESSAGES.map((message) => ({
      name: `mesh_${message.kind}`,
      bytes: encodeMessage(message).byteLength,
    })),
    ...measureRows(),
    ...measureFleet(),
    ...measureOthers(),
  ];
}
