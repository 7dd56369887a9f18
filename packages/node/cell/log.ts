/** Structured log of the cell: one JSON line for each decision or state change. */

export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one line; never blocks and never throws. */
export interface CellLog {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
}

/** A log that writes nothing. */
export const SILENT_LOG: CellLog = { info: () => {}, warn: () => {} };
