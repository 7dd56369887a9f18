/** Registers the chai plug-ins that every test file relies on. */
import { use } from "chai";
import { jestSnapshotPlugin } from "mocha-chai-jest-snapshot";

use(jestSnapshotPlugin());
