/** Owners of the requests that an HTTP server serves. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CellLog } from "../log.ts";
import type { BackgroundActivity } from "./activities.ts";
import { reportFailure } from "./report_failure.ts";
import { runInBackground } from "./run_in_background.ts";

const FAILED_STATUS = 500;

export type RequestListener = (
  incoming: IncomingMessage,
  response: ServerResponse,
) => unknown;

/**
 * A request whose listener fails is reported and answered with status 500; if its answer has begun,
 * its connection is closed. Other requests are not affected.
 */
export function guardRequestListener(
  log: CellLog,
  activity: BackgroundActivity,
  listener: RequestListener,
): (incoming: IncomingMessage, response: ServerResponse) => void {
  async function serve(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await listener(incoming, response);
    } catch (error) {
      reportFailure(log, activity, error);
      refuse(response);
    }
  }

  return (incoming, response) =>
    runInBackground(log, activity, () => serve(incoming, response));
}

/** The rest of the request's body is not read, so the connection is not used again. */
function refuse(response: ServerResponse): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  response.writeHead(FAILED_STATUS, {
    "content-length": 0,
    "connection": "close",
  });
  response.end();
}
