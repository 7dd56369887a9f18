/** Records what would end the process: rejections and errors of subscribers that nobody handles. */
import process from "node:process";
import { config } from "rxjs";

/** Rxjs throws the errors of subscribers on a timer of its own. */
const REPORT_DELAY_MS = 5;

/** Runs `act`; returns what nobody has handled by its end, in place of the test's failure. */
export async function collectUnhandledErrors(
  act: () => Promise<void> | void,
): Promise<readonly unknown[]> {
  const errors: unknown[] = [];
  const record = (error: unknown) => void errors.push(error);
  const listeners = process.listeners("unhandledRejection");
  const { onUnhandledError } = config;
  process.removeAllListeners("unhandledRejection");
  process.on("unhandledRejection", record);
  config.onUnhandledError = record;
  try {
    await act();
    await new Promise((resolve) => setTimeout(resolve, REPORT_DELAY_MS));
  } finally {
    config.onUnhandledError = onUnhandledError;
    process.removeListener("unhandledRejection", record);
    for (const listener of listeners) {
      process.on("unhandledRejection", listener);
    }
  }
  return errors;
}
