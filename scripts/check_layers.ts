/**
 * Checks the dependencies between the packages, as a step of `npm run lint`: a package may import
 * only the packages listed for it, by their names. Prints every other import and exits with 1 if
 * there is one. Tests are not checked.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

/** The workspace packages that the sources of each folder may import. */
const LAYERS: Readonly<Record<string, readonly string[]>> = {
  "packages/common": [],
  "packages/policy": ["common"],
  "packages/ports": ["common", "policy"],
  "platform": ["common", "policy", "ports"],
  "packages/node": ["common", "policy", "ports"],
  "stand_ins": ["common", "ports"],
  "apps": ["common", "policy", "ports", "node"],
};

/** The only files that may import `platform`: the wiring of the daemon that runs on it. */
const PLATFORM_WIRING: ReadonlySet<string> = new Set([
  "apps/coltsfootpond_scheduler/main.ts",
]);
const PLATFORM_PACKAGE = "platform";

const IMPORT_PATTERN = /from\s+"@coltsfootpond\/([a-z-]+)"/g;
/** Relative imports through these folders; another package must be imported by its name. */
const RELATIVE_IMPORT_PATTERN =
  /from\s+"((?:\.\.\/)+(?:packages|stand_ins|apps|scripts)\/[^"]+)"/g;

/** Paths of all TypeScript files in the folder and its subfolders. */
function listSources(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith(".ts"))
    .map((entry) => join(entry.parentPath, entry.name))
    .filter((path) => !path.includes("node_modules"));
}

function findViolations(folder: string, allowed: readonly string[]): string[] {
  const violations: string[] = [];
  for (const path of listSources(folder)) {
    if (path.endsWith("_test.ts")) continue;
    const text = readFileSync(path, "utf8");
    for (const match of text.matchAll(IMPORT_PATTERN)) {
      const target = match[1] ?? "";
      const isWiring = target === PLATFORM_PACKAGE && PLATFORM_WIRING.has(path);
      if (!allowed.includes(target) && !isWiring) {
        violations.push(`${path}: imports @coltsfootpond/${target}`);
      }
    }
    for (const match of text.matchAll(RELATIVE_IMPORT_PATTERN)) {
      violations.push(`${path}: imports ${match[1]}`);
    }
  }
  return violations;
}

const violations = Object.entries(LAYERS).flatMap(([folder, allowed]) =>
  findViolations(folder, allowed)
);
for (const violation of violations) console.error(violation);
if (violations.length > 0) process.exit(1);
