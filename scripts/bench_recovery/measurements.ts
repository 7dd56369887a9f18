/** The measurements of recovery over running processes. All times are the platform's. */
import type { Cluster, EntryHandle } from "../demo/cluster.ts";
import type { Example } from "../demo/example.ts";
import { applyExample } from "../demo/demo_scenario.ts";

const SETTLE_MS = 9_000;
const OBSERVE_MS = 9_000;
const OUT_OBSERVE_MS = 4_000;
const IN_FORCE_BOUND_MS = 16_000;
const IN_FORCE_POLL_MS = 5;

interface DomainsDocument {
  readonly failureDomains: readonly {
    readonly failureDomain: string;
    readonly owner?: string;
  }[];
}

/** One measured time; undefined when what was waited for did not come within the bound. */
export interface Measurement {
  readonly round: number;
  readonly subject: string;
  readonly ms: number | undefined;
}

export interface MeasurementOptions {
  readonly cluster: Cluster;
  readonly example: Example;
  readonly rounds: number;
  readonly say: (line: string) => void;
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Entries that were not ended. */
function getEntry(
  live: readonly EntryHandle[],
  name: string | undefined,
): EntryHandle {
  const entry = live.find(({ process }) => process.name === name) ?? live[0];
  if (entry === undefined) throw new Error("no entry is left");
  return entry;
}

async function listOwned(entry: EntryHandle): Promise<Map<string, string[]>> {
  const { failureDomains } = await entry.operator.get<DomainsDocument>(
    "/v1/failure-domains",
  );
  const owned = new Map<string, string[]>();
  for (const { failureDomain, owner } of failureDomains) {
    if (owner === undefined) continue;
    owned.set(owner, [...owned.get(owner) ?? [], failureDomain]);
  }
  return owned;
}

async function getMarkMs(cluster: Cluster, name: string): Promise<number> {
  const { marks } = await cluster.readLedger();
  const mark = marks.find((one) => one.name === name);
  if (mark === undefined) throw new Error(`no mark ${name}`);
  return mark.atMs;
}

/** From the end of an owner to the next start in each failure domain that it owned. */
export async function measureOwnerStop(
  options: MeasurementOptions,
  signal: "SIGKILL" | "SIGTERM",
): Promise<readonly Measurement[]> {
  const { cluster, rounds, say } = options;
  const results: Measurement[] = [];
  let live = [...cluster.entries];
  for (let round = 1; round <= rounds; round++) {
    await pause(SETTLE_MS);
    const owned = await listOwned(getEntry(live, undefined));
    const [ownerName, domains] = [...owned][round % owned.size] ?? [];
    const owner = getEntry(live, ownerName);
    const mark = `${signal} ${round}`;
    await cluster.mark(mark);
    owner.process.kill(signal);
    live = live.filter((one) => one !== owner);
    await pause(OBSERVE_MS);
    if (signal === "SIGTERM") {
      const { code } = await owner.process.ended;
      say(`round ${round}: ${ownerName} exits with ${code}`);
    }
    await cluster.remove(owner.process.name);
    const atMs = await getMarkMs(cluster, mark);
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
    say(`round ${round} of ${rounds}: ${signal} of ${ownerName}`);
  }
  return results;
}

/** From the answer to an out to the last start there; 0 when none came after it. */
export async function measureDomainOut(
  options: MeasurementOptions,
): Promise<readonly Measurement[]> {
  const { cluster, rounds, say, example } = options;
  const results: Measurement[] = [];
  const { failureDomains } = example.declarations;
  for (let round = 1; round <= rounds; round++) {
    const subject = failureDomains[round % failureDomains.length]?.name ?? "";
    const entry = cluster.entries[round % cluster.entries.length];
    if (entry === undefined) throw new Error("no entry");
    const path = `/v1/failure-domains/${subject}`;
    await entry.operator.send("POST", `${path}/out`, {});
    await cluster.mark(`out ${round}`);
    await pause(OUT_OBSERVE_MS);
    const atMs = await getMarkMs(cluster, `out ${round}`);
    const { runs } = await cluster.readLedger();
    const late = runs.filter((run) =>
      run.failureDomain === subject && run.startMs > atMs
    ).map((run) => run.startMs - atMs);
    results.push({ round, subject, ms: Math.max(0, ...late) });
    await entry.operator.send("POST", `${path}/in`, {});
    await pause(OUT_OBSERVE_MS);
    say(`round ${round} of ${rounds}: ${subject} out and in`);
  }
  return results;
}

/** From sending an apply to the moment at which every entry reports the version in force. */
export async function measureApply(
  options: MeasurementOptions,
): Promise<readonly Measurement[]> {
  const { cluster, rounds, example, say } = options;
  const results: Measurement[] = [];
  for (let round = 1; round <= rounds; round++) {
    const entry = cluster.entries[round % cluster.entries.length];
    if (entry === undefined) throw new Error("no entry");
    const base = await readVersion(entry);
    const startMs = performance.now();
    const version = await applyExample(example, entry, base);
    await Promise.all(cluster.entries.map((one) => waitFor(one, version)));
    const ms = performance.now() - startMs;
    results.push({ round, subject: `version ${version}`, ms });
    say(`round ${round} of ${rounds}: version ${version}`);
    await pause(OUT_OBSERVE_MS / 4);
  }
  return results;
}

async function readVersion(entry: EntryHandle): Promise<number> {
  const document = await entry.operator.get<{ readonly version: number }>(
    "/v1/configuration",
  );
  return document.version;
}

async function waitFor(entry: EntryHandle, version: number): Promise<void> {
  const endMs = performance.now() + IN_FORCE_BOUND_MS;
  while (await readVersion(entry) < version) {
    if (performance.now() > endMs) {
      throw new Error(`${entry.process.name}: version ${version} is late`);
    }
    await pause(IN_FORCE_POLL_MS);
  }
}
