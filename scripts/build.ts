/**
 * `npm run build`: bundles each program into one file under `dist/`, so that it runs on plain
 * Node.js without compiling TypeScript at its start. Third-party packages are not bundled.
 */
import { build } from "esbuild";

const PROGRAMS = {
  coltsfootpondd: "apps/coltsfootpondd/main.ts",
  coltsfootpond: "apps/coltsfootpond/main.ts",
  platform: "stand_ins/platform/main.ts",
  runner: "stand_ins/runner/main.ts",
  demo: "scripts/demo/main.ts",
  bench_requests: "scripts/bench_requests/main.ts",
  bench_entry: "scripts/bench_requests/entry.ts",
  bench_runner_host: "scripts/bench_requests/runner_host.ts",
} as const;

await build({
  entryPoints: PROGRAMS,
  outdir: "dist",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  sourcemap: true,
  packages: "external",
  alias: {
    "@coltsfootpond/common": "./packages/common/mod.ts",
    "@coltsfootpond/policy": "./packages/policy/mod.ts",
    "@coltsfootpond/ports": "./packages/ports/mod.ts",
    "@coltsfootpond/node": "./packages/node/mod.ts",
    "@coltsfootpond/stand-ins": "./stand_ins/mod.ts",
  },
});
