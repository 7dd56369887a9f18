/**
 * Measures recovery on a cluster of running processes. The stand-in platform's ledger has the times
 * of task starts and of marks, which are named times recorded on request, all on the platform's
 * clock. Only the time of an apply is measured on this process's clock.
 */
import type { Cluster, EntryHandle } from "../demo/cluster.ts";
import type { Example } from "../demo/example.ts";
import { applyExample } from "../demo/demo_scenario.ts";

/** Wait before each round of `measureOwnerStop`, for ownership to settle. */
const SETTLE_DELAY_MS = 9_000;
/** How long task starts are recorded after an owner is stopped. */
const OBSERVATION_MS = 9_000;
/** How long task starts are recorded after a failure domain is taken out of service. */
const OUT_OBSERVATION_MS = 4_000;
/** Bound on the wait until an entry reports a new version as in force. */
const IN_FORCE_TIMEOUT_MS = 16_000;
const IN_FORCE_POLL_PERIOD_MS = 5;

/** The fields used here of the answer to `GET /v1/failure-domains`. */
interface FailureDomainsResponse {
  readonly failureDomains: readonly {
    readonly failureDomain: string;
    readonly owner?: string;
  }[];
}

/** One measured time; `ms` is undefined if no task start was recorded in the observation time. */
export interface Measurement {
  readonly round: number;
  /** The failure domain or the version that was measured. */
  readonly subject: string;
  readonly ms: number | undefined;
}

/** What a measurement runs on; `logProgress` receives a line after each round. */
export interface MeasurementOptions {
  readonly cluster: Cluster;
  readonly example: Example;
  readonly rounds: number;
  readonly logProgress: (line: string) => void;
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** The named entry, or the first if there is none of that name, among those still running. */
function findEntryOrFirst(
  live: readonly EntryHandle[],
  name: string | undefined,
): EntryHandle {
  const entry = live.find(({ process }) => process.name === name) ?? live[0];
  if (entry === undefined) throw new Error("no entry is running any more");
  return entry;
}

/** Failure domains by the entry that owns them. */
async function listOwned(entry: EntryHandle): Promise<Map<string, string[]>> {
  const { failureDomains } = await entry.operator.get<FailureDomainsResponse>(
    "/v1/failure-domains",
  );
  const owned = new Map<string, string[]>();
  for (const { failureDomain, owner } of failureDomains) {
    if (owner === undefined) continue;
    owned.set(owner, [...owned.get(owner) ?? [], failureDomain]);
  }
  return owned;
}

async function readMarkMs(cluster: Cluster, name: string): Promise<number> {
  const { marks } = await cluster.readLedger();
  const mark = marks.find((candidate) => candidate.name === name);
  if (mark === undefined) {
    throw new Error(`the platform's ledger has no mark ${name}`);
  }
  return mark.atMs;
}

/**
 * Kills or stops an owner in each round. For each failure domain that it owned, measures the time
 * until another entry first starts a task there.
 */
export async function measureOwnerStop(
  options: MeasurementOptions,
  signal: "SIGKILL" | "SIGTERM",
): Promise<readonly Measurement[]> {
  const { cluster, rounds, logProgress } = options;
  const results: Measurement[] = [];
  let live = [...cluster.entries];
  for (let round = 1; round <= rounds; round++) {
    await pause(SETTLE_DELAY_MS);
    const owned = await listOwned(findEntryOrFirst(live, undefined));
    const [ownerName, domains] = [...owned][round % owned.size] ?? [];
    const owner = findEntryOrFirst(live, ownerName);
    const mark = `${signal} ${round}`;
    await cluster.mark(mark);
    owner.process.kill(signal);
    live = live.filter((entry) => entry !== owner);
    await pause(OBSERVATION_MS);
    if (signal === "SIGTERM") {
      const { code } = await owner.process.ended;
      logProgress(`round ${round}: ${ownerName} exits with ${code}`);
    }
    await cluster.remove(owner.process.name);
    const atMs = await readMarkMs(cluster, mark);
    const { runs } = await cluster.readLedger();
    for (const subject of domains ?? []) {
      const starts = runs.filter((run) =>
        run.failureDomain === subject && run.startMs > atMs &&
        run.entry !== ownerName
      ).map((run) => run.startMs - atMs);
      const ms = starts.length === 0 ? undefined : Math.min(...starts);
      results.push({ round, subject, ms });
    }
    const declared = options.example.declarations.failureDomains[0];
    await cluster.startEntry(owner.failureDomain, declared?.region ?? "");
    live.push(...cluster.entries.slice(-1));
    logProgress(`round ${round} of ${rounds}: ${signal} of ${ownerName}`);
  }
  return results;
}

/**
 * Takes a failure domain out of service in each round. Measures the time from the answer to that
 * request until the last task start there; 0 if none followed.
 */
export async function measureDomainOut(
  options: MeasurementOptions,
): Promise<readonly Measurement[]> {
  const { cluster, rounds, logProgress, example } = options;
  const results: Measurement[] = [];
  const { failureDomains } = example.declarations;
  for (let round = 1; round <= rounds; round++) {
    const subject = failureDomains[round % failureDomains.length]?.name ?? "";
    const entry = cluster.entries[round % cluster.entries.length];
    if (entry === undefined) {
      throw new Error("the cluster has no entry to call");
    }
    const path = `/v1/failure-domains/${subject}`;
    await entry.operator.send("POST", `${path}/out`, {});
    await cluster.mark(`out ${round}`);
    await pause(OUT_OBSERVATION_MS);
    const atMs = await readMarkMs(cluster, `out ${round}`);
    const { runs } = await cluster.readLedger();
    const lateStarts = runs.filter((run) =>
      run.failureDomain === subject && run.startMs > atMs
    ).map((run) => run.startMs - atMs);
    results.push({ round, subject, ms: Math.max(0, ...lateStarts) });
    await entry.operator.send("POST", `${path}/in`, {});
    await pause(OUT_OBSERVATION_MS);
    logProgress(`round ${round} of ${rounds}: ${subject} out and in`);
  }
  return results;
}

/** Measures the time from sending an apply until its version is in force at every entry. */
export async function measureApply(
  options: MeasurementOptions,
): Promise<readonly Measurement[]> {
  const { cluster, rounds, example, logProgress } = options;
  const results: Measurement[] = [];
  for (let round = 1; round <= rounds; round++) {
    const entry = cluster.entries[round % cluster.entries.length];
    if (entry === undefined) {
      throw new Error("the cluster has no entry to call");
    }
    const base = await readVersion(entry);
    const startMs = performance.now();
    const version = await applyExample(example, entry, base);
    await Promise.all(
      cluster.entries.map((one) => waitForVersion(one, version)),
    );
    const ms = performance.now() - startMs;
    results.push({ round, subject: `version ${version}`, ms });
    logProgress(`round ${round} of ${rounds}: version ${version}`);
    await pause(OUT_OBSERVATION_MS / 4);
  }
  return results;
}

async function readVersion(entry: EntryHandle): Promise<number> {
  const document = await entry.operator.get<{ readonly version: number }>(
    "/v1/configuration",
  );
  return document.version;
}

/** Polls the entry until the version of its configuration is at least `version`. */
async function waitForVersion(
  entry: EntryHandle,
  version: number,
): Promise<void> {
  const endMs = performance.now() + IN_FORCE_TIMEOUT_MS;
  while (await readVersion(entry) < version) {
    if (performance.now() > endMs) {
      throw new Error(
        `${entry.process.name}: version ${version} was not in force within the timeout`,
      );
    }
    await pause(IN_FORCE_POLL_PERIOD_MS);
  }
}
