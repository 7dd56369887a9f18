/**
 * The daemon of the cell's scheduler: reads the platform's settings file, runs one entry and stops
 * gracefully on SIGTERM. Once it has started, errors do not end it (decision 0013).
 * `--metrics-port N` serves Prometheus metrics on the host on which callers are served. Exit codes:
 * 0 stopped, 1 failed, 2 invalid settings or arguments.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import {
  type Clock,
  parsePort,
  SYSTEM_RANDOM,
  SystemClock,
} from "@coltsfootpond/common";
import {
  CellEntry,
  type CellLog,
  CellMeters,
  MetricsServer,
} from "@coltsfootpond/node";
import {
  createCallerCodec,
  createRecordDecoder,
  createStateStore,
  createWorkerPort,
  decodeSettings,
  SETTINGS_PATH_VARIABLE,
} from "@coltsfootpond/platform";
import type { CellSettings, HostPort } from "@coltsfootpond/ports";
import { destination, pino } from "pino";

const EXIT_CODE = { STOPPED: 0, FAILED: 1, INVALID_SETTINGS: 2 } as const;
/** Log lines are buffered up to this size, and written at least every `LOG_FLUSH_MS`. */
const LOG_BLOCK_BYTES = 4_096;
const LOG_FLUSH_MS = 500;
/** Lines beyond this are dropped while the output takes none, as on a full disk. */
const LOG_BUFFER_BYTES = 1_048_576;
/** Period of sampling the event loop's delay. */
const LOOP_CHECK_MS = 500;

const stream = destination({
  fd: 1,
  sync: false,
  minLength: LOG_BLOCK_BYTES,
  maxLength: LOG_BUFFER_BYTES,
});
// The entry serves callers also while its log cannot be written.
stream.on("error", () => {});
const logger = pino({ base: null }, stream);

const log: CellLog = {
  info: (event, fields) => logger.info({ event, ...fields }),
  warn: (event, fields) => logger.warn({ event, ...fields }),
};

function exit(code: number): never {
  try {
    stream.flushSync();
  } catch {
    // The last lines are lost.
  }
  process.exit(code);
}

function readSettings(): CellSettings {
  const file = process.env[SETTINGS_PATH_VARIABLE];
  if (file === undefined) {
    log.warn("settings.missing", { variable: SETTINGS_PATH_VARIABLE });
    exit(EXIT_CODE.INVALID_SETTINGS);
  }
  const outcome = decodeSettings(file, readFileSync(file, "utf8"));
  if (outcome.kind === "valid") return outcome.settings;
  log.warn("settings.invalid", { problems: outcome.problems });
  exit(EXIT_CODE.INVALID_SETTINGS);
}

function fail(error: unknown): never {
  const detail = error instanceof Error ? error.stack : String(error);
  log.warn("process.failed", { detail });
  exit(EXIT_CODE.FAILED);
}

/** The value of `--metrics-port`; undefined when it is absent. */
function readMetricsPort(): number | undefined {
  try {
    const { values } = parseArgs({
      options: { "metrics-port": { type: "string" } },
    });
    const text = values["metrics-port"];
    if (text === undefined) return undefined;
    const port = parsePort(text);
    if (port !== undefined) return port;
    log.warn("arguments.invalid", {
      problem: `--metrics-port: ${text} is not a port number`,
    });
  } catch (error) {
    log.warn("arguments.invalid", { problem: String(error) });
  }
  exit(EXIT_CODE.INVALID_SETTINGS);
}

/** Logs a failure to listen instead of throwing: the entry serves callers even without metrics. */
async function serveMetrics(
  meters: CellMeters,
  clock: Clock,
  entryLog: CellLog,
  address: HostPort,
): Promise<void> {
  try {
    await MetricsServer.create({ meters, clock, log: entryLog })
      .listen(address);
  } catch (error) {
    log.warn("metrics.unavailable", { ...address, detail: String(error) });
  }
}

async function main(): Promise<void> {
  setInterval(() => stream.flush(), LOG_FLUSH_MS).unref();
  const metricsPort = readMetricsPort();
  const settings = readSettings();
  const clock = SystemClock.create();
  const meters = CellMeters.create();
  const entry = CellEntry.create({
    settings,
    store: createStateStore(settings.storeAddress),
    workerPort: createWorkerPort(),
    callerCodec: createCallerCodec(),
    recordDecoder: createRecordDecoder(),
    clock,
    nowUnixMs: Date.now,
    random: SYSTEM_RANDOM,
    log,
    meters,
  });
  process.on("SIGTERM", () => {
    entry.stop().then(() => exit(EXIT_CODE.STOPPED), fail);
  });
  // The settings that this program uses do not change while the process runs.
  process.on("SIGHUP", () => log.info("settings.unchanged"));
  let isStarted = false;
  process.on("uncaughtException", (error, origin) => {
    if (!isStarted) fail(error);
    entry.reportUnownedError(error, origin);
  });
  await entry.start();
  isStarted = true;
  if (metricsPort === undefined) return;
  meters.watchEventLoop(clock, LOOP_CHECK_MS, entry.log);
  await serveMetrics(meters, clock, entry.log, {
    host: settings.callerAddress.host,
    port: metricsPort,
  });
}

main().catch(fail);
