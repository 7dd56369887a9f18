/** `explain`: prints the history of one job from the schedulers' log files of all entries. */
import { defineCommand } from "../command.ts";
import { EXIT_CODE } from "../exit_codes.ts";

/** One parsed log line; `--json` prints these fields. */
interface LogLine {
  readonly timeMs: number;
  readonly event: string;
  readonly file: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Events that affect every job; printed when they fall into the job's time. */
const COMMON_EVENTS: ReadonlySet<string> = new Set([
  "lease.acquired",
  "lease.lost",
  "lease.released",
  "scheduler.ready",
  "store.direct_lost",
  "store.direct_regained",
  "process.failed",
]);
/** Common events up to this long before the job's first or after its last line are printed. */
const CONTEXT_MS = 3_000;

function parseLine(text: string, file: string): LogLine | undefined {
  if (!text.startsWith("{")) return undefined;
  try {
    const { time, event, level: _, ...fields } = JSON.parse(text);
    return typeof time === "number" && typeof event === "string"
      ? { timeMs: time, event, file, fields }
      : undefined;
  } catch {
    // The process was killed while it wrote the line.
    return undefined;
  }
}

/** Whether a line names the job, one of its tasks or units, or its HTTP path. */
function isAbout(line: LogLine, jobId: string): boolean {
  const { job, task, unit, path } = line.fields;
  return job === jobId ||
    [task, unit].some((name) => String(name ?? "").startsWith(`${jobId}.`)) ||
    String(path ?? "").endsWith(`/${jobId}`);
}

/** The job's lines and the common events around them, in order of time. */
function selectHistory(
  lines: readonly LogLine[],
  jobId: string,
): readonly LogLine[] {
  const own = lines.filter((line) => isAbout(line, jobId));
  if (own.length === 0) return [];
  const times = own.map(({ timeMs }) => timeMs);
  const fromMs = Math.min(...times) - CONTEXT_MS;
  const toMs = Math.max(...times) + CONTEXT_MS;
  return lines.filter((line) =>
    isAbout(line, jobId) ||
    COMMON_EVENTS.has(line.event) && line.timeMs >= fromMs &&
      line.timeMs <= toMs
  ).sort((left, right) => left.timeMs - right.timeMs);
}

function format(line: LogLine, startMs: number): string {
  const fields = Object.entries(line.fields).map(([name, value]) =>
    `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`
  );
  const offset = `${line.timeMs - startMs} ms`.padStart(10);
  return [offset, line.file, line.event, ...fields].join("  ");
}

export const EXPLAIN_COMMAND = defineCommand({
  usage: "explain <job> <logs..>",
  describe: "Print the history of a job from the schedulers' log files",
  positionals: {
    job: { type: "string", demandOption: true, describe: "The job's id" },
    logs: {
      type: "string",
      array: true,
      demandOption: true,
      describe: "Log files, one of each entry",
    },
  },
  flags: {},
  async run(context, args) {
    const lines: LogLine[] = [];
    for (const file of args.logs) {
      const text = new TextDecoder().decode(await context.readFile(file));
      for (const line of text.split("\n")) {
        const parsed = parseLine(line, file);
        if (parsed !== undefined) lines.push(parsed);
      }
    }
    const history = selectHistory(lines, args.job);
    const first = history[0];
    if (first === undefined) {
      context.printError(`no line is about job ${args.job}`);
      return EXIT_CODE.FAILED;
    }
    for (const line of history) {
      context.print(
        context.json ? JSON.stringify(line) : format(line, first.timeMs),
      );
    }
    return EXIT_CODE.OK;
  },
});
