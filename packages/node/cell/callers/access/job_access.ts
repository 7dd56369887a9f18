/**
 * Who may call a queue, and who may read and cancel its jobs.
 *
 * The promise, in the words of the platform's protocol: "A call carries a key of the job's
 * [organisation], unless the call's [queue] is `public`. A call with an unknown key receives a 401
 * response." and "A 410 response means that no such job exists."
 */
import type { OrganisationName } from "@coltsfootpond/common";
import type { QueueName } from "@coltsfootpond/policy";
import type { DeclaredState, QueueDeclaration } from "@coltsfootpond/ports";
import { findOrganisation } from "../../declared_state_tracker.ts";

/** A call of a queue, and the declared state that was in force when it arrived. */
export interface QueueCall {
  readonly state: DeclaredState;
  readonly queue: QueueDeclaration;
  /** The API key that it carries, known or not. */
  readonly key: string | undefined;
}

/** What is stored with a job of the call by which it was submitted. */
export interface JobOrigin {
  readonly queue: QueueName;
  /** Undefined if the call had no known key, as public queues admit. */
  readonly organisation: OrganisationName | undefined;
}

/** `unauthenticated`: the queue asks for a key, and the call has none that is known. */
export type CallAccess =
  | {
    readonly kind: "admitted";
    readonly organisation: OrganisationName | undefined;
  }
  | { readonly kind: "unauthenticated" };

/** Why a call may or may not read and cancel a job. */
export const ACCESS_GROUND = {
  PUBLIC_QUEUE: "public queue",
  NO_ORGANISATION: "the job has no organisation",
  SAME_ORGANISATION: "same organisation",
  UNKNOWN_KEY: "unknown key",
  ANOTHER_QUEUE: "another queue",
  ANOTHER_ORGANISATION: "another organisation",
} as const;
export type AccessGround = (typeof ACCESS_GROUND)[keyof typeof ACCESS_GROUND];

/** `denied`: for this caller there is no such job. */
export interface JobAccess {
  readonly kind: "granted" | "denied";
  readonly ground: AccessGround;
}

/** Whether the call may use its queue: submit a job, or ask for the number of waiting jobs. */
export function decideCallAccess({ state, queue, key }: QueueCall): CallAccess {
  const organisation = findOrganisation(state, key);
  return organisation === undefined && !queue.isPublic
    ? { kind: "unauthenticated" }
    : { kind: "admitted", organisation };
}

/**
 * Whether the call may read and cancel the job. Judged by what is declared now: a job of a queue
 * that is public is open to whoever knows its id, however it was submitted, and a job without an
 * organisation, of a queue that has become private, to each known key. A public queue opens no job
 * of other queues.
 */
export function decideJobAccess(call: QueueCall, job: JobOrigin): JobAccess {
  const access = decideCallAccess(call);
  if (access.kind === "unauthenticated") {
    return denied(ACCESS_GROUND.UNKNOWN_KEY);
  }
  const isOwner = access.organisation !== undefined &&
    access.organisation === job.organisation;
  if (job.queue !== call.queue.queue) {
    return isOwner
      ? granted(ACCESS_GROUND.SAME_ORGANISATION)
      : denied(ACCESS_GROUND.ANOTHER_QUEUE);
  }
  if (call.queue.isPublic) return granted(ACCESS_GROUND.PUBLIC_QUEUE);
  if (isOwner) return granted(ACCESS_GROUND.SAME_ORGANISATION);
  return job.organisation === undefined
    ? granted(ACCESS_GROUND.NO_ORGANISATION)
    : denied(ACCESS_GROUND.ANOTHER_ORGANISATION);
}

function granted(ground: AccessGround): JobAccess {
  return { kind: "granted", ground };
}

function denied(ground: AccessGround): JobAccess {
  return { kind: "denied", ground };
}
