/** Prints an entry's response or the failure of a request, and chooses the exit code. */
import type { CommandContext } from "./command.ts";
import {
  type EntryOutcome,
  type EntryResponse,
  type Problem,
  readProblem,
} from "./entry_client.ts";
import { EXIT_CODE, type ExitCode, getProblemExitCode } from "./exit_codes.ts";

function formatProblemText(problem: Problem): string {
  const summary = `${problem.code} ${problem.class}: ${problem.title}`;
  return problem.detail === undefined
    ? summary
    : `${summary}\n${problem.detail}`;
}

/**
 * Prints the problem document or why the request failed, and returns the exit code; prints nothing
 * and returns undefined when the response is a success.
 */
export function reportFailure(
  context: CommandContext,
  outcome: EntryOutcome,
): ExitCode | undefined {
  if (outcome.kind === "refused") {
    context.printError(`no entry could be reached: ${outcome.reason}`);
    return EXIT_CODE.UNREACHABLE;
  }
  if (outcome.kind === "lost") {
    context.printError(`the outcome is unknown: ${outcome.reason}`);
    return EXIT_CODE.UNKNOWN;
  }
  const problem = readProblem(outcome.response);
  if (problem !== undefined) {
    context.printError(
      context.json ? JSON.stringify(problem) : formatProblemText(problem),
    );
    return getProblemExitCode(problem);
  }
  if (outcome.response.status < 400) return undefined;
  context.printError(`unexpected status ${outcome.response.status}`);
  return EXIT_CODE.UNKNOWN;
}

/** The JSON body of a successful response. Throws a `SyntaxError` when it is not JSON. */
export function readJson<Content>(response: EntryResponse): Content {
  return JSON.parse(response.body.toString("utf8")) as Content;
}

/** Prints `content` as JSON with `--json`, else as the lines that `format` returns. */
export function printResult<Content>(
  context: CommandContext,
  content: Content,
  format: (content: Content) => readonly string[],
): void {
  if (context.json) context.print(JSON.stringify(content));
  else for (const line of format(content)) context.print(line);
}

/** Sends a request and prints its JSON response or the failure. */
export async function sendAndPrint<Content>(
  context: CommandContext,
  request: Parameters<CommandContext["client"]["send"]>[0],
  format: (content: Content) => readonly string[],
): Promise<ExitCode> {
  const outcome = await context.client.send(request);
  const failureExitCode = reportFailure(context, outcome);
  if (failureExitCode !== undefined || outcome.kind !== "response") {
    return failureExitCode ?? EXIT_CODE.INTERNAL;
  }
  printResult(context, readJson<Content>(outcome.response), format);
  return EXIT_CODE.OK;
}
