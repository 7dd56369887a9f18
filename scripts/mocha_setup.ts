/** Loaded first by mocha (`.mocharc.json`): chai's plug-in for snapshots, dropped rejections. */
import process from "node:process";
import { use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";

use(jestSnapshotPlugin());

// mocha passes over a rejection that nothing handles, which would end the real program.
process.on("unhandledRejection", (reason) => {
  throw reason;
});
