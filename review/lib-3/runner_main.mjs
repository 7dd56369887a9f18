// A runner in a process of its own, for tests that kill it. It tells the test, by messages, what it would
// write to the store (`servers/ID`) and what it runs. RUNNER: its options as JSON; `tasks` has, by spec,
// { need, workMs, checkpoints }.
import { Runner } from "./runner.mjs";

const { port, tasks, ...options } = JSON.parse(process.env.RUNNER);
const send = (message) => process.connected && process.send(message);
const runner = new Runner({
  ...options,
  describeTask: (_, spec) => ({ ...tasks[spec], workMs: tasks[spec].workMs ?? Infinity }),
  record: (event, fields) => send({ event, fields }),
});
await runner.listen(port);
const beat = () => send({ entry: runner.describe() });
beat();
setInterval(beat, 1_500);
process.on("disconnect", () => process.exit(0));
