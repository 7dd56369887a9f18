/**
 * Operators' routes `GET` and `PUT /v1/configuration`. `PUT` replaces the whole set of declarations
 * and requires `If-Match` with the version that the change is based on.
 */
import { Buffer } from "node:buffer";
import { assertNever, type DeclarationFile } from "@coltsfootpond/common";
import { z } from "zod";
import type {
  ApplyOutcome,
  ConfigurationProblem,
} from "../configuration/types.ts";
import { createProblemReply } from "../http/problem.ts";
import {
  ACCESS,
  type HttpExchange,
  type HttpReply,
  type Route,
} from "../http/types.ts";
import { createJsonReply, formatEntityTag, parseEntityTag } from "./replies.ts";
import type { OperatorRouteOptions } from "./types.ts";

const MAXIMUM_FILES = 256;

const APPLY_BODY_SCHEMA = z.strictObject({
  files: z.array(z.strictObject({
    name: z.string().min(1).max(200),
    text: z.string(),
  })).min(1).max(MAXIMUM_FILES),
});

function parseFiles(body: Uint8Array): readonly DeclarationFile[] | undefined {
  try {
    const content: unknown = JSON.parse(Buffer.from(body).toString("utf8"));
    return APPLY_BODY_SCHEMA.safeParse(content).data?.files;
  } catch {
    return undefined;
  }
}

function formatProblemLine(problem: ConfigurationProblem): string {
  return problem.fileName === undefined
    ? problem.message
    : `${problem.fileName}: ${problem.message}`;
}

function createApplyReply(outcome: ApplyOutcome): HttpReply {
  switch (outcome.kind) {
    case "accepted":
      return createJsonReply(outcome.head, {
        etag: formatEntityTag(outcome.head.version),
      });
    case "refused": {
      const { resultName, problems, winner } = outcome;
      const lines = problems.map(formatProblemLine);
      if (winner !== undefined) {
        lines.push(
          `version ${winner.version} was accepted by ${winner.acceptedBy}`,
        );
      }
      return createProblemReply(resultName, {
        detail: lines.length === 0 ? undefined : lines.join("\n"),
        headers: winner && { etag: formatEntityTag(winner.version) },
      });
    }
    default:
      return assertNever(outcome);
  }
}

async function putConfiguration(
  options: OperatorRouteOptions,
  exchange: HttpExchange,
): Promise<HttpReply> {
  const baseVersion = parseEntityTag(exchange.headers["if-match"]);
  if (baseVersion === undefined) {
    return createProblemReply("PRECONDITION_REQUIRED");
  }
  const files = parseFiles(exchange.body);
  if (files === undefined) {
    return createProblemReply("MALFORMED", {
      detail: 'expected {"files":[{"name":...,"text":...}]}',
    });
  }
  const outcome = await options.configuration.apply({ files, baseVersion });
  return createApplyReply(outcome);
}

function getConfiguration({ configuration }: OperatorRouteOptions): HttpReply {
  const active = configuration.current();
  const version = active?.version ?? 0;
  return createJsonReply({
    version,
    digest: active?.head.digest,
    acceptedBy: active?.head.acceptedBy,
    files: active?.head.chunks ?? [],
    confirmedAgeMs: configuration.confirmedAgeMs(),
    fresh: configuration.isFresh(),
  }, { etag: formatEntityTag(version) });
}

export function createConfigurationRoutes(
  options: OperatorRouteOptions,
): readonly Route[] {
  return [
    {
      method: "GET",
      pattern: "/v1/configuration",
      access: ACCESS.OPERATOR,
      handle: () => Promise.resolve(getConfiguration(options)),
    },
    {
      method: "PUT",
      pattern: "/v1/configuration",
      access: ACCESS.OPERATOR,
      handle: (exchange) => putConfiguration(options, exchange),
    },
  ];
}
