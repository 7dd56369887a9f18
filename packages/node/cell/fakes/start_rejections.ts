/** Lets simulated workers reject the starts of some tasks, or leave them unanswered. */
import type { TaskName } from "@coltsfootpond/policy";
import type { StartRefusal } from "@coltsfootpond/ports";
import type { WorkerFake } from "../workers_fake.ts";

/** How the worker answers; `unanswered`: not at all. */
export type RejectionReason = StartRefusal | "unanswered";

/** All reasons that do not come from a change of the worker's process or of the lease holder. */
export const REJECTION_REASONS: readonly RejectionReason[] = [
  "no_ticket",
  "invalid",
  "no_room",
  "unhealthy",
  "superseded",
  "expired",
  "unanswered",
];

/** Rejects the starts for which `isRejected` holds; it is called once for each start. */
export function rejectStarts(
  worker: WorkerFake,
  reason: RejectionReason,
  isRejected: (task: TaskName) => boolean,
): void {
  if (reason === "unanswered") {
    worker.isSilentTo = isRejected;
  } else {
    worker.findRejection = (task) => isRejected(task) ? reason : undefined;
  }
}

/** Accepts all starts again. */
export function acceptStarts(worker: WorkerFake): void {
  worker.isSilentTo = () => false;
  worker.findRejection = () => undefined;
}
