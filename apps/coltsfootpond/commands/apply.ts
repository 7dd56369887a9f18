/** `apply`: replaces all accepted declarations by those of a directory. */
import { Buffer } from "node:buffer";
import { type CommandContext, defineCommand } from "../command.ts";
import { EXIT_CODE, type ExitCode } from "../exit_codes.ts";
import { listMembers, type ReachableMember } from "../members.ts";
import { printResult, readJson, reportFailure } from "../results.ts";

const POLL_PERIOD_MS = 200;

interface ConfigurationDocument {
  readonly version: number;
}

/** The configuration version that an entry reports; undefined when it sends none. */
async function getVersion(
  client: ReachableMember["client"],
): Promise<number | undefined> {
  const outcome = await client.send({
    method: "GET",
    path: "/v1/configuration",
  });
  if (outcome.kind !== "response" || outcome.response.status !== 200) {
    return undefined;
  }
  return readJson<ConfigurationDocument>(outcome.response).version;
}

/** Names of the live entries that report no version, or one below `version`. */
async function listLagging(
  context: CommandContext,
  version: number,
): Promise<readonly string[]> {
  const outcome = await listMembers(context);
  if (outcome.kind === "failed") return ["(no entry could be asked)"];
  const versions = await Promise.all(
    outcome.members.map(({ client }) => getVersion(client)),
  );
  return outcome.members
    .filter((_, index) => !((versions[index] ?? 0) >= version))
    .map(({ member }) => member.entry);
}

/** Polls until every live entry reports `version`; `NOT_CONFIRMED` after `timeoutMs`. */
async function waitUntilInForce(
  context: CommandContext,
  version: number,
  timeoutMs: number,
): Promise<ExitCode> {
  const endMs = context.nowMs() + timeoutMs;
  let lagging = await listLagging(context, version);
  while (lagging.length > 0 && context.nowMs() < endMs) {
    await context.sleep(POLL_PERIOD_MS);
    lagging = await listLagging(context, version);
  }
  if (lagging.length === 0) return EXIT_CODE.OK;
  context.printError(
    `version ${version} is accepted, not yet in force on ${lagging.join(", ")}`,
  );
  return EXIT_CODE.NOT_CONFIRMED;
}

export const APPLY_COMMAND = defineCommand({
  usage: "apply <directory>",
  describe: "Replace the accepted declarations as a whole",
  positionals: {
    directory: { type: "string", demandOption: true, describe: "TOML files" },
  },
  flags: {
    "base-version": {
      type: "number",
      describe: "Version the files were made from; default: the accepted one",
    },
    wait: {
      type: "boolean",
      default: false,
      describe: "Return when every live entry has it in force",
    },
    "wait-timeout-ms": { type: "number", default: 15_000 },
  },
  async run(context, args) {
    const files = await context.readDeclarations(args.directory);
    const baseVersion = args["base-version"] ??
      await getVersion(context.client) ?? 0;
    const outcome = await context.client.send({
      method: "PUT",
      path: "/v1/configuration",
      headers: {
        "content-type": "application/json",
        "if-match": `"${baseVersion}"`,
      },
      body: Buffer.from(JSON.stringify({ files })),
    });
    const failure = reportFailure(context, outcome);
    if (failure !== undefined) return failure;
    if (outcome.kind !== "response") return EXIT_CODE.INTERNAL;
    const accepted = readJson<ConfigurationDocument>(outcome.response);
    const exitCode = args.wait
      ? await waitUntilInForce(
        context,
        accepted.version,
        args["wait-timeout-ms"],
      )
      : EXIT_CODE.OK;
    printResult(context, accepted, ({ version }) => [
      args.wait && exitCode === EXIT_CODE.OK
        ? `version ${version} is in force on every live entry`
        : `version ${version} is accepted`,
    ]);
    return exitCode;
  },
});
