/** Command line of the runner stand-in. Prints one JSON line with its address once it listens. */
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import {
  configureLog,
  createUniqueId,
  EventRing,
  logEvent,
  SeededRandom,
  SystemClock,
} from "@coltsfootpond/common";
import { RUNNER_FAULT } from "./runner_fault.ts";
import { RunnerStandIn } from "./runner_stand_in.ts";

const EVENT_CAPACITY = 4_096;

const flags = await yargs(hideBin(process.argv))
  .scriptName("runner")
  .usage("$0 [options]: a stand-in for an upstream runner")
  .option("name", { type: "string", default: "runner" })
  .option("host", { type: "string", default: "127.0.0.1" })
  .option("port", {
    type: "number",
    default: 0,
    describe: "0 binds a free port",
  })
  .option("slots", { type: "number", default: 8 })
  .option("service-ms", { type: "number", default: 20 })
  .option("service-spread", { type: "number", default: 0.5 })
  .option("seed", { type: "number", default: 1 })
  .option("fault", {
    choices: Object.values(RUNNER_FAULT),
    default: RUNNER_FAULT.NONE,
  })
  .option("fault-share", { type: "number", default: 1 })
  .option("log", { type: "string", default: "", describe: "debug namespaces" })
  .strict()
  .help()
  .parse();

configureLog(flags.log);
const clock = SystemClock.create();
const runner = RunnerStandIn.create({
  clock,
  random: SeededRandom.create(flags.seed),
  name: flags.name,
  slots: flags.slots,
  serviceMs: flags.serviceMs,
  serviceSpread: flags.serviceSpread,
  fault: flags.fault,
  faultShare: flags.faultShare,
  events: EventRing.create({
    clock,
    process: flags.name,
    incarnation: createUniqueId(),
    capacity: EVENT_CAPACITY,
    onEvent: logEvent,
  }),
});
const address = await runner.listen(flags.host, flags.port);
console.log(JSON.stringify({ name: flags.name, ...address }));

async function stop(): Promise<void> {
  await runner.close();
  process.exit(0);
}
process.once("SIGTERM", () => void stop());
process.once("SIGINT", () => void stop());
