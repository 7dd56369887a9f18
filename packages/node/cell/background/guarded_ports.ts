/**
 * Ports whose calls always resolve with an outcome. An implementation that throws or rejects is
 * reported, and its call counts as lost: it may have taken effect.
 */
import {
  lost,
  type StateStore,
  type Unavailable,
  type WorkerPort,
} from "@coltsfootpond/ports";
import type { CellLog, LogFields } from "../log.ts";
import { BACKGROUND_ACTIVITY, type BackgroundActivity } from "./activities.ts";
import { reportFailure } from "./report_failure.ts";
import { runInBackground } from "./run_in_background.ts";

const { CALL_STORE, POLL_WORKER, START_TASK, STOP_TASK } = BACKGROUND_ACTIVITY;

/** The outcome of the call; `lost` when it throws or rejects. */
export async function settleCall<Outcome>(
  log: CellLog,
  activity: BackgroundActivity,
  call: () => Promise<Outcome>,
  fields?: LogFields,
): Promise<Outcome | Unavailable> {
  try {
    return await call();
  } catch (error) {
    reportFailure(log, activity, error, fields);
    return lost(`the call failed: ${activity}`);
  }
}

/** Calls to workers that never throw nor reject. */
export function guardWorkerPort(port: WorkerPort, log: CellLog): WorkerPort {
  return {
    start: (...call) =>
      settleCall(log, START_TASK, () => port.start(...call), { ...call[0] }),
    stop: (...call) =>
      settleCall(log, STOP_TASK, () => port.stop(...call), { ...call[0] }),
    renew: (...call) =>
      settleCall(log, POLL_WORKER, () => port.renew(...call), { ...call[0] }),
    forget: (target) =>
      runInBackground(log, POLL_WORKER, () => port.forget(target)),
  };
}

/** Calls of the store that never throw nor reject. */
export function guardStore(store: StateStore, log: CellLog): StateStore {
  return {
    transact: (...call) =>
      settleCall(log, CALL_STORE, () => store.transact(...call)),
    read: (...call) => settleCall(log, CALL_STORE, () => store.read(...call)),
    follow: (...call) =>
      settleCall(log, CALL_STORE, () => store.follow(...call)),
  };
}
