/** Reads the last written report. */
import { existsSync, readFileSync } from "node:fs";
import { type CapacityReport, SLOPES_PATH } from "./types.ts";

/** Undefined when none has been written yet. */
export function readReport(): CapacityReport | undefined {
  if (!existsSync(SLOPES_PATH)) return undefined;
  return JSON.parse(readFileSync(SLOPES_PATH, "utf8")) as CapacityReport;
}
