/** JSON-lines log over the `debug` package; `DEBUG=coltsfootpond:*` selects what is written. */
import createDebug from "debug";
import process from "node:process";
import { format } from "node:util";
import type { TimelineEvent } from "./events.ts";

const NAMESPACE_ROOT = "coltsfootpond";

/** Makes every `debug` line one JSON object on standard error. */
export function configureLog(enabledNamespaces: string): void {
  createDebug.formatArgs = () => {};
  createDebug.log = (...parts: unknown[]) =>
    void process.stderr.write(`${format(...parts)}\n`);
  createDebug.enable(enabledNamespaces);
}

/** Writes timeline events to the log under `coltsfootpond:{first part of the event name}`. */
export function logEvent(event: TimelineEvent): void {
  const area = event.event.split(".")[0] ?? "event";
  const write = createDebug(`${NAMESPACE_ROOT}:${area}`);
  if (write.enabled) write("%s", JSON.stringify(event));
}
