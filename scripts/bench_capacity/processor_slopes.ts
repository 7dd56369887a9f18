/**
 * Measures the processor time of an entry's recurring work: heartbeats, configuration parsing, table
 * calls, fleet calls and VM list reads. The platform is the stand-in in a separate process.
 */
import {
  brandId,
  type Declarations,
  type EntryName,
  type FailureDomainName,
  parseDeclarations,
  type WriteId,
} from "@coltsfootpond/common";
import {
  createHttpPlatform,
  HttpClient,
  type PlatformPorts,
  type ServiceAddress,
  type WorkerCommand,
} from "@coltsfootpond/ports";
import {
  createDeclarationFiles,
  createJobTableRow,
  createWorker,
  createWorkerName,
  FAILURE_DOMAIN,
} from "./fixtures.ts";
import { measureProcessor } from "./measure.ts";
import { MeshPair } from "./mesh_pair.ts";
import { VM_RECORD } from "./message_sizes.ts";
import { startPlatformProcess } from "./platform_process.ts";
import { TARGET } from "./target.ts";
import type { Slope } from "./types.ts";

const CALL_OPTIONS = { timeoutMs: 30_000 };
const EXCHANGE_COUNTS = [250, 500, 1_000, 2_000];
/** Reads in one run of `vm_list_time`, as its text in the report says. */
const VM_LIST_READS = 100;
const RENEWED_WORKER_COUNTS = [1_000, 2_000, 4_000, 8_000];
const ENTRY = brandId<EntryName>("entry-1");

/** All slopes of processor time that need no placement engine; stops the stand-in at the end. */
export async function measureProcessorSlopes(): Promise<readonly Slope[]> {
  const platform = await startPlatformProcess();
  const address = { host: "127.0.0.1", port: platform.port };
  const ports = createHttpPlatform(address);
  try {
    await declareWorkers(address);
    return [
      await measureHeartbeats(),
      await measureConfigurationChange(),
      await measureRowDecoding(),
      ...await measureTable(ports),
      ...await measureFleet(ports),
      await measureVmList(ports, address),
    ];
  } finally {
    await platform.stop();
  }
}

/** One heartbeat sent and one received, over a real mesh link. */
async function measureHeartbeats(): Promise<Slope> {
  const pair = await MeshPair.create();
  try {
    const slope = await measureProcessor({
      name: "heartbeat_time",
      per: "heartbeat sent and one received",
      sizes: [1_000, 2_000, 4_000, 8_000],
      prepare: (size) => () => pair.exchange(size),
    });
    return slope;
  } finally {
    await pair.stop();
  }
}

function measureConfigurationChange(): Promise<Slope> {
  return measureProcessor({
    name: "configuration_parse_time",
    per: "organisation of the set",
    sizes: [9, 18, 36, 72],
    prepare: (organisations) => {
      const files = createDeclarationFiles({
        organisations,
        failureDomains: TARGET.failureDomains,
        workers: TARGET.workers,
      });
      return () => {
        const outcome = parseDeclarations(files);
        if (outcome.kind === "invalid") {
          throw new Error("the generated declarations are invalid");
        }
        keep(outcome.declarations);
      };
    },
  });
}

let kept: Declarations | undefined;

/** Stores the result, so that the compiler can't remove the parsing. */
function keep(declarations: Declarations): void {
  kept = declarations;
  void kept;
}

function measureRowDecoding(): Promise<Slope> {
  return measureProcessor({
    name: "row_decode_time",
    per: "job row of 24 tasks decoded",
    sizes: [500, 1_000, 2_000, 4_000],
    prepare: (size) => {
      const rows = Array.from(
        { length: size },
        (_, index) => createJobTableRow(index, 24),
      );
      const text = JSON.stringify({ kind: "rows", rows });
      return () => void JSON.parse(text);
    },
  });
}

async function measureTable(ports: PlatformPorts): Promise<readonly Slope[]> {
  const { table } = ports;
  const rows = Array.from(
    { length: 1_000 },
    (_, index) => createJobTableRow(index, 24),
  );
  for (const row of rows) {
    await table.transact({
      writeId: row.writeId,
      conditions: [],
      writes: [{ kind: "put", key: row.key, value: row.value }],
    }, CALL_OPTIONS);
  }
  const beat = { entry: "entry-1", incarnation: "i".repeat(32), beat: 1 };
  return [
    await measureProcessor({
      name: "table_read_time",
      per: "read of one small row",
      sizes: EXCHANGE_COUNTS,
      prepare: (size) => () =>
        repeat(size, () => table.read(["owner/none"], CALL_OPTIONS)),
    }),
    await measureProcessor({
      name: "table_write_time",
      per: "write of one small row",
      sizes: EXCHANGE_COUNTS,
      prepare: (size) => () =>
        repeat(size, (index) =>
          table.transact({
            writeId: brandId<WriteId>(`write-${index}`),
            conditions: [],
            writes: [{ kind: "put", key: "owner/bench", value: beat }],
          }, CALL_OPTIONS)),
    }),
    await measureProcessor({
      name: "row_scan_time",
      per: "job row of 24 tasks scanned over HTTP",
      sizes: [1_000, 2_000, 4_000, 8_000],
      prepare: (size) => () =>
        repeat(size / 1_000, () => table.scan("job/", CALL_OPTIONS)),
    }),
  ];
}

async function measureFleet(ports: PlatformPorts): Promise<readonly Slope[]> {
  const { fleet } = ports;
  const failureDomain: FailureDomainName = FAILURE_DOMAIN;
  return [
    await measureProcessor({
      name: "lease_renewal_time",
      per: "worker renewed in one batch",
      sizes: RENEWED_WORKER_COUNTS,
      prepare: (size) => {
        const commands = createRenewals(size);
        return async () => {
          await fleet.command(
            { failureDomain, epoch: 1, entry: ENTRY, commands },
            CALL_OPTIONS,
          );
        };
      },
    }),
    await measureProcessor({
      name: "fleet_report_time",
      per: "report with nothing new",
      sizes: EXCHANGE_COUNTS,
      prepare: (size) => () =>
        repeat(size, () =>
          fleet.report(
            { failureDomain, sinceRevision: 1_000_000, forget: [] },
            CALL_OPTIONS,
          )),
    }),
  ];
}

function measureVmList(
  ports: PlatformPorts,
  address: ServiceAddress,
): Promise<Slope> {
  const client = HttpClient.create(address);
  let registered = 0;
  return measureProcessor({
    name: "vm_list_time",
    per: "VM in 100 readings of the list",
    sizes: [100, 200, 400, 800],
    prepare: (size) => async () => {
      while (registered < size) {
        await client.postJson(
          "/vms/register",
          { ...VM_RECORD, name: `runner-${registered++}` },
          CALL_OPTIONS.timeoutMs,
        );
      }
      await repeat(VM_LIST_READS, () => ports.vms.list(CALL_OPTIONS));
    },
  }).finally(() => client.close());
}

/** Declares the workers whose leases are renewed. */
async function declareWorkers(address: ServiceAddress): Promise<void> {
  const client = HttpClient.create(address);
  const workers = Array.from(
    { length: RENEWED_WORKER_COUNTS.at(-1) ?? 0 },
    (_, index) => createWorker(index),
  );
  const declaration = { failureDomain: FAILURE_DOMAIN, workers };
  await client.postJson("/fleet/workers", declaration, CALL_OPTIONS.timeoutMs);
  client.close();
}

function createRenewals(count: number): readonly WorkerCommand[] {
  const workers = Array.from(
    { length: count },
    (_, index) => createWorkerName(index),
  );
  return [{ kind: "renew", workers, leaseMs: 20_000 }];
}

async function repeat(
  count: number,
  call: (index: number) => Promise<{ readonly kind: string }>,
): Promise<void> {
  for (let index = 0; index < count; index++) {
    const outcome = await call(index);
    if (outcome.kind === "unavailable") {
      throw new Error(
        `the platform stand-in was unavailable: ${JSON.stringify(outcome)}`,
      );
    }
  }
}
