/** Reads the stored capacity report, `docs/capacity/slopes.json`. */
import { existsSync, readFileSync } from "node:fs";
import { type CapacityReport, SLOPES_PATH } from "./types.ts";

/** Undefined when the file does not exist. */
export function readReport(): CapacityReport | undefined {
  if (!existsSync(SLOPES_PATH)) return undefined;
  return JSON.parse(readFileSync(SLOPES_PATH, "utf8")) as CapacityReport;
}
