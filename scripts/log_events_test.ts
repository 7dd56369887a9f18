/**
 * Compares the event names in the log calls of the scheduler's sources with the table of
 * `docs/LOG_EVENTS.md`, so that no event is missing from the page or only on the page.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { expect } from "chai";

const SOURCE_FOLDERS = ["packages/node/cell", "apps/coltsfootpond_scheduler"];
/** A log call; the group is its first argument, which may choose between several event names. */
const LOG_CALL =
  /(?:\b(?:log|lines)\??\.(?:info|warn)|#logTask)\(([^;]*?)[,)]/gs;
const EVENT_NAME = /"([a-z_]+\.[a-z_]+)"/g;
/** The first cell of a row in the table of events. */
const DOCUMENTED_EVENT = /^\| `([a-z_]+\.[a-z_]+)`/gm;

function listLoggedEvents(): readonly string[] {
  const files = SOURCE_FOLDERS.flatMap((folder) =>
    readdirSync(folder, { recursive: true, encoding: "utf8" }).filter((name) =>
      name.endsWith(".ts") && !name.endsWith("_test.ts")
    ).map((name) => join(folder, name))
  );
  const events = files.flatMap((file) =>
    [...readFileSync(file, "utf8").matchAll(LOG_CALL)].flatMap((
      [, argument],
    ) =>
      [...(argument ?? "").matchAll(EVENT_NAME)].map(([, event]) => event ?? "")
    )
  );
  return [...new Set(events)].sort();
}

describe("log events of the scheduler", () => {
  it("are all described in docs/LOG_EVENTS.md, and no others", () => {
    const text = readFileSync("docs/LOG_EVENTS.md", "utf8");
    const documented = [...text.matchAll(DOCUMENTED_EVENT)].map((
      [, event],
    ) => event);
    expect(listLoggedEvents()).to.deep.equal(documented.sort());
  });
});
