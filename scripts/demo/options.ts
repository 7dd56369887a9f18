/** Command-line options of the demo. */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";

/** Folders of `examples/` that the demo can run. */
export const DEPLOYMENTS = ["lechfeld", "propuestas_andinas"] as const;
export type Deployment = typeof DEPLOYMENTS[number];

const MINIMUM_SECONDS = 10;
const MAXIMUM_SECONDS = 300;

export interface DemoOptions {
  readonly seed: number;
  /** How long requests are sent. */
  readonly seconds: number;
  readonly deployment: Deployment;
  readonly json: boolean;
  /** Keeps the temporary directory with settings and logs. */
  readonly keep: boolean;
}

export function parseOptions(): DemoOptions {
  return yargs(hideBin(process.argv))
    .scriptName("npm run demo --")
    .usage(
      "$0 [options]: runs platform, runners and entries as processes on loopback",
    )
    .option("seed", { type: "number", default: 1 })
    .option("seconds", {
      type: "number",
      default: 20,
      describe:
        `how long requests are sent, ${MINIMUM_SECONDS} to ${MAXIMUM_SECONDS}`,
    })
    .option("deployment", {
      choices: DEPLOYMENTS,
      default: DEPLOYMENTS[0] as Deployment,
    })
    .option("json", { type: "boolean", default: false })
    .option("keep", {
      type: "boolean",
      default: false,
      describe: "keep the temporary directory with settings and logs",
    })
    .check(({ seconds }) => {
      if (seconds >= MINIMUM_SECONDS && seconds <= MAXIMUM_SECONDS) return true;
      throw new Error(
        `--seconds must be from ${MINIMUM_SECONDS} to ${MAXIMUM_SECONDS}`,
      );
    })
    .version(false)
    .strict()
    .parseSync();
}
