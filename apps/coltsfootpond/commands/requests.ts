/** `submit`, `get` and `cancel`: send and follow up a caller's request to a service. */
import { Buffer } from "node:buffer";
import { createUniqueId, MS_PER_SECOND } from "@coltsfootpond/common";
import { type CommandContext, defineCommand } from "../command.ts";
import type { EntryRequest } from "../entry_client.ts";
import { EXIT_CODE, type ExitCode } from "../exit_codes.ts";
import { printResult, reportFailure } from "../results.ts";

const WAIT_FLAG = {
  "wait-ms": {
    type: "number",
    describe: "How long to hold the connection for the answer",
  },
} as const;

const REQUEST_ID_POSITIONAL = {
  "request-id": { type: "string", demandOption: true },
} as const;

function createPreferHeader(
  waitMs: number | undefined,
): Record<string, string> {
  if (waitMs === undefined) return {};
  return { prefer: `wait=${Math.ceil(waitMs / MS_PER_SECOND)}` };
}

/** Sends a request; prints the response body unchanged, or in base64 within a JSON document. */
async function exchange(
  context: CommandContext,
  request: EntryRequest,
  requestId: string,
): Promise<ExitCode> {
  const outcome = await context.client.send(request);
  const failure = reportFailure(context, outcome);
  if (failure !== undefined) return failure;
  if (outcome.kind !== "response") return EXIT_CODE.INTERNAL;
  const { status, body } = outcome.response;
  printResult(
    context,
    { requestId, status, bodyBase64: body.toString("base64") },
    () => status === 202 ? [`accepted as ${requestId}`] : [body.toString()],
  );
  return EXIT_CODE.OK;
}

async function readBody(
  context: CommandContext,
  data: string | undefined,
  file: string | undefined,
): Promise<Uint8Array> {
  if (file !== undefined) return await context.readFile(file);
  return Buffer.from(data ?? "");
}

export const SUBMIT_COMMAND = defineCommand({
  usage: "submit <service>",
  describe: "Send a request to a service",
  positionals: { service: { type: "string", demandOption: true } },
  flags: {
    data: { type: "string", describe: "The body" },
    file: { type: "string", describe: "Read the body from a file" },
    "request-id": {
      type: "string",
      describe: "Idempotency key; a random one is made when absent",
    },
    "deadline-ms": { type: "number", describe: "Time left for the answer" },
    async: {
      type: "boolean",
      default: false,
      describe: "Return as soon as the request is accepted",
    },
    ...WAIT_FLAG,
  },
  async run(context, args) {
    const requestId = args["request-id"] ?? createUniqueId();
    const headers: Record<string, string> = {
      "content-type": "application/octet-stream",
      "idempotency-key": requestId,
      ...createPreferHeader(args["wait-ms"]),
    };
    if (args.async) headers["prefer"] = "respond-async";
    const deadlineMs = args["deadline-ms"];
    if (deadlineMs !== undefined) {
      headers["deadline-ms"] = String(Math.floor(deadlineMs));
    }
    const service = encodeURIComponent(args.service);
    return await exchange(context, {
      method: "POST",
      path: `/v1/services/${service}/requests`,
      headers,
      body: await readBody(context, args.data, args.file),
    }, requestId);
  },
});

export const GET_COMMAND = defineCommand({
  usage: "get <request-id>",
  describe: "Fetch the state or the answer of a request",
  positionals: REQUEST_ID_POSITIONAL,
  flags: WAIT_FLAG,
  run(context, args) {
    const requestId = args["request-id"];
    return exchange(context, {
      method: "GET",
      path: `/v1/requests/${encodeURIComponent(requestId)}`,
      headers: createPreferHeader(args["wait-ms"]),
    }, requestId);
  },
});

export const CANCEL_COMMAND = defineCommand({
  usage: "cancel <request-id>",
  describe: "Cancel a request that has not been answered",
  positionals: REQUEST_ID_POSITIONAL,
  flags: {},
  run(context, args) {
    const requestId = args["request-id"];
    return exchange(context, {
      method: "DELETE",
      path: `/v1/requests/${encodeURIComponent(requestId)}`,
    }, requestId);
  },
});
