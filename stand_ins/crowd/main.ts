/**
 * Command line of the crowd of clients that do not behave. Prints the counts of its connections as
 * one JSON line at its end, which comes after `--duration-ms` or with SIGTERM.
 */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { CLIENT_KIND } from "./client_kinds.ts";
import { Crowd } from "./crowd.ts";

const flags = await yargs(hideBin(process.argv))
  .scriptName("crowd")
  .usage("$0 [options]: many connections of clients that do not behave")
  .option("kind", {
    choices: Object.values(CLIENT_KIND),
    default: CLIENT_KIND.MIX,
  })
  .option("host", { type: "string", default: "127.0.0.1" })
  .option("port", { type: "number", demandOption: true })
  .option("connections", { type: "number", default: 20 })
  .option("body-bytes", { type: "number", default: 260_000 })
  .option("seed", { type: "number", default: 1 })
  .option("duration-ms", { type: "number", default: 10_000 })
  .option("authority", { type: "string", demandOption: true })
  .option("authorization", { type: "string", demandOption: true })
  .option("state-path", {
    type: "string",
    demandOption: true,
    describe: "path of a job whose state can be read",
  })
  .option("submit-prefix", {
    type: "string",
    demandOption: true,
    describe: "prefix of the paths to which jobs are submitted",
  })
  .option("job-body", {
    type: "string",
    demandOption: true,
    describe: "body of a sound job",
  })
  .strict()
  .help()
  .parse();

const crowd = Crowd.create(flags);
crowd.start();

function end(): void {
  crowd.stop();
  process.stdout.write(`${JSON.stringify(crowd.counts)}\n`, () => {
    process.exit(0);
  });
}

process.once("SIGTERM", end);
setTimeout(end, flags.durationMs);
