/**
 * Build command of `deploy/system.toml`: bundles the daemon that runs on the platform, third-party
 * packages included, into one file under `target/`, so that it loads a single file at its start.
 */
import { build } from "esbuild";

await build({
  entryPoints: {
    coltsfootpond_scheduler: "apps/coltsfootpond_scheduler/main.ts",
  },
  outdir: "target",
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifySyntax: true,
  legalComments: "none",
  alias: {
    "@coltsfootpond/common": "./packages/common/mod.ts",
    "@coltsfootpond/policy": "./packages/policy/mod.ts",
    "@coltsfootpond/ports": "./packages/ports/mod.ts",
    "@coltsfootpond/node": "./packages/node/mod.ts",
    "@coltsfootpond/platform": "./platform/mod.ts",
  },
});
