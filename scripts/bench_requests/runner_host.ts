/**
 * Program that runs several runner stand-ins, each on a separate port, and executes the commands
 * that it reads from standard input.
 */
import { SeededRandom, SystemClock } from "@coltsfootpond/common";
import { RunnerStandIn } from "@coltsfootpond/stand-ins";
import { serveCommands } from "./json_lines.ts";
import type { RunnerCommand, RunnerReply } from "./options.ts";

const clock = SystemClock.create();
const runners = new Map<string, RunnerStandIn>();

async function start(
  command: Extract<RunnerCommand, { readonly kind: "start" }>,
): Promise<RunnerReply> {
  const ports: number[] = [];
  const { slots, serviceMs, serviceSpread } = command.shape;
  for (const [index, name] of command.names.entries()) {
    const runner = RunnerStandIn.create({
      clock,
      random: SeededRandom.create(command.seed * 1_000 + index),
      name,
      slots,
      serviceMs,
      serviceSpread,
    });
    runners.set(name, runner);
    ports.push((await runner.listen("127.0.0.1", 0)).port);
  }
  return { kind: "started", ports };
}

/** Merges the ledgers of the runners of this process. */
function readLedgers(): RunnerReply {
  const all = [...runners];
  return {
    kind: "ledger",
    runs: all.flatMap(([name, { ledger }]) =>
      ledger.list().map(({ requestId }) => ({ runner: name, requestId }))
    ),
    refusals: all.reduce(
      (sum, [, { ledger }]) => sum + ledger.getCounts().refusals,
      0,
    ),
    maximumInUse: Math.max(
      ...all.map(([, { ledger }]) => ledger.getCounts().maximumInUse),
    ),
  };
}

await serveCommands<RunnerCommand, RunnerReply>(async (command) => {
  switch (command.kind) {
    case "start":
      return await start(command);
    case "fault":
      for (const name of command.names) {
        runners.get(name)?.setFault(command.fault);
      }
      return { kind: "done" };
    case "service_time":
      for (const runner of runners.values()) {
        runner.setServiceTime(command.serviceMs, command.serviceSpread);
      }
      return { kind: "done" };
    case "ledger":
      return readLedgers();
  }
});
