/**
 * Program of the platform stand-in: its services on one port, the balancer on another. Prints one
 * JSON line with both ports when it listens.
 */
import process from "node:process";
import { SeededRandom, SystemClock } from "@coltsfootpond/common";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Balancer } from "./balancer.ts";
import { PlatformServer } from "./platform_server.ts";
import { PlatformStandIn } from "./platform_stand_in.ts";

const options = yargs(hideBin(process.argv))
  .scriptName("platform")
  .option("host", { type: "string", default: "127.0.0.1" })
  .option("port", { type: "number", default: 0 })
  .option("balancer-port", { type: "number", default: 0 })
  .option("seed", { type: "number", default: 1 })
  .option("sample-period-ms", { type: "number", default: 100 })
  .strict()
  .parseSync();

const clock = SystemClock.create();
const platform = PlatformStandIn.create({
  clock,
  random: SeededRandom.create(options.seed),
  samplePeriodMs: options.samplePeriodMs,
});
const server = PlatformServer.create(platform);
const balancer = Balancer.create(platform.vms, clock);
const port = await server.listen(options.host, options.port);
const balancerPort = await balancer.listen(options.host, options.balancerPort);
process.stdout.write(
  `${JSON.stringify({ event: "listening", port, balancerPort })}\n`,
);

async function stop(): Promise<void> {
  await balancer.close();
  await server.close();
  process.exit(0);
}
process.once("SIGTERM", () => void stop());
process.once("SIGINT", () => void stop());
