/** JSON-lines log built on the `debug` package; the enabled namespaces select what is written. */
import createDebug from "debug";
import process from "node:process";
import { format } from "node:util";
import type { TimelineEvent } from "./events.ts";

const NAMESPACE_ROOT = "coltsfootpond";

/**
 * Enables namespaces, such as `coltsfootpond:*`. Their lines go to standard error without the
 * prefix that `debug` adds, so that each stays one JSON object.
 */
export function configureLog(enabledNamespaces: string): void {
  createDebug.formatArgs = () => {};
  createDebug.log = (...parts: unknown[]) =>
    void process.stderr.write(`${format(...parts)}\n`);
  createDebug.enable(enabledNamespaces);
}

/** Writes an event as one JSON line; the namespace is `coltsfootpond:{first part of its name}`. */
export function logEvent(event: TimelineEvent): void {
  const area = event.event.split(".")[0] ?? "event";
  const write = createDebug(`${NAMESPACE_ROOT}:${area}`);
  if (write.enabled) write("%s", JSON.stringify(event));
}
