/** Registers the chai plug-in for snapshots; mocha loads this file first (`.mocharc.json`). */
import { use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";

use(jestSnapshotPlugin());
