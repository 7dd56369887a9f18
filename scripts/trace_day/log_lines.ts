/** Parses the schedulers' log lines, also behind the time and VM name that a replay prints first. */

export interface LogLine {
  /** Seconds of the replay, or of the wall clock when the line has no prefix. */
  readonly atS: number;
  /** Name of the VM; empty when the line has no prefix. */
  readonly vm: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const MS_PER_SECOND = 1_000;

/** The line's event, or undefined for other output. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  const fields = parseFields(text.slice(start));
  if (fields === undefined || typeof fields.event !== "string") {
    return undefined;
  }
  const [prefixS, vm] = text.slice(0, start).trim().split(/\s+/);
  const atS = prefixS === undefined || prefixS === ""
    ? Number(fields.time) / MS_PER_SECOND
    : Number(prefixS);
  if (!Number.isFinite(atS)) return undefined;
  return { atS, vm: vm ?? "", event: fields.event, fields };
}

function parseFields(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" && value !== null
      ? value as Record<string, unknown>
      : undefined;
  } catch {
    return undefined;
  }
}
