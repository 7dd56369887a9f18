/**
 * Who may call a queue, and who may read and cancel its jobs.
 *
 * The promise, in the words of the platform's protocol: "A call carries a key of the job's
 * [organisation], unless the call's [queue] is `public`. A call with an unknown key receives a 401
 * response." and "A 410 response means that no such job exists."
 */
import type { OrganisationName } from "@coltsfootpond/common";
import type { JobOrigin } from "@coltsfootpond/policy";
import type { DeclaredState, QueueDeclaration } from "@coltsfootpond/ports";
import { findOrganisation } from "../../declared_state_tracker.ts";
import { findOwner } from "../../job_origins/find_owner.ts";
import {
  computeAddressTag,
  computeKeyTag,
} from "../../job_origins/origin_tags.ts";

/** A call of a queue, and the declared state that was in force when it arrived. */
export interface QueueCall {
  readonly state: DeclaredState;
  readonly queue: QueueDeclaration;
  /** The API key that it carries, known or not. */
  readonly key: string | undefined;
}

/** A queue's name, and where it is called. */
export type QueueAddress = Pick<
  QueueDeclaration,
  "queue" | "host" | "pathPrefix"
>;

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
  SAME_KEY: "same key",
  RENAMED_ORGANISATION: "renamed organisation",
  UNKNOWN_KEY: "unknown key",
  ANOTHER_QUEUE: "another queue",
  ANOTHER_ORGANISATION: "another organisation",
  UNDECLARED_ORGANISATION: "undeclared organisation",
} as const;
export type AccessGround = (typeof ACCESS_GROUND)[keyof typeof ACCESS_GROUND];

/**
 * `denied`: for this caller there is no such job. `undecided`: the job's organisation is declared no
 * more, and neither is the key by which the job was submitted, so its owner can't be told.
 */
export interface JobAccess {
  readonly kind: "granted" | "denied" | "undecided";
  readonly ground: AccessGround;
}

/** Whether the call may use its queue: submit a job, or ask for the number of waiting jobs. */
export function decideCallAccess({ state, queue, key }: QueueCall): CallAccess {
  const organisation = findOrganisation(state, key);
  return organisation === undefined && !queue.isPublic
    ? { kind: "unauthenticated" }
    : { kind: "admitted", organisation };
}

/** What is stored with a job that the call submits. */
export function createOrigin({ state, queue, key }: QueueCall): JobOrigin {
  const organisation = findOrganisation(state, key);
  return {
    queue: queue.queue,
    addressTag: computeAddressTag(queue),
    organisation,
    ...(organisation === undefined || key === undefined
      ? {}
      : { keyTag: computeKeyTag(key) }),
  };
}

/** `unknown`: the row is of an earlier version, and the queue may have been renamed since. */
export type QueueRelation = "same" | "another" | "unknown";

/**
 * Whether the job was submitted to the queue: a queue that is renamed is still called at the same
 * address, and one that is moved to another address keeps its name.
 */
export function relateQueue(
  queue: QueueAddress,
  job: Pick<JobOrigin, "queue" | "addressTag">,
): QueueRelation {
  if (job.queue === queue.queue) return "same";
  if (job.addressTag === undefined) return "unknown";
  return job.addressTag === computeAddressTag(queue) ? "same" : "another";
}

/**
 * Whether the call may read and cancel the job. Judged by what is declared now: a job is reached
 * through its queue only. If that is public, the job is open to whoever knows its id, however it
 * was submitted. A job without an organisation, of a queue that has become private, is open to each
 * known key. Besides its organisation, the key by which a job was submitted gives access to it for
 * as long as that key is declared, and shows which organisation is now the owner if the stored name
 * is declared no more.
 */
export function decideJobAccess(call: QueueCall, job: JobOrigin): JobAccess {
  const access = decideCallAccess(call);
  if (access.kind === "unauthenticated") {
    return denied(ACCESS_GROUND.UNKNOWN_KEY);
  }
  switch (relateQueue(call.queue, job)) {
    case "same":
      return isOpen(call, job)
        ? granted(ACCESS_GROUND.PUBLIC_QUEUE)
        : decideByOwner(call, access.organisation, job);
    case "another":
      return denied(ACCESS_GROUND.ANOTHER_QUEUE);
    case "unknown":
      return access.organisation !== undefined &&
          access.organisation === job.organisation
        ? granted(ACCESS_GROUND.SAME_ORGANISATION)
        : denied(ACCESS_GROUND.ANOTHER_QUEUE);
  }
}

/**
 * Whether the job's queue is public. Two queues may count as the job's, one by its name and one by
 * its address; the job is open if both are public.
 */
function isOpen({ state, queue }: QueueCall, job: JobOrigin): boolean {
  return queue.isPublic &&
    state.queues.every((other) =>
      other.isPublic || relateQueue(other, job) !== "same"
    );
}

function decideByOwner(
  { state, key }: QueueCall,
  organisation: OrganisationName | undefined,
  job: JobOrigin,
): JobAccess {
  if (job.organisation === undefined) {
    return granted(ACCESS_GROUND.NO_ORGANISATION);
  }
  if (organisation === job.organisation) {
    return granted(ACCESS_GROUND.SAME_ORGANISATION);
  }
  const isKeyKnown = key !== undefined && organisation !== undefined;
  if (isKeyKnown && job.keyTag === computeKeyTag(key)) {
    return granted(ACCESS_GROUND.SAME_KEY);
  }
  const owner = findOwner(state, job);
  if (owner === undefined) {
    return { kind: "undecided", ground: ACCESS_GROUND.UNDECLARED_ORGANISATION };
  }
  return owner === organisation
    ? granted(ACCESS_GROUND.RENAMED_ORGANISATION)
    : denied(ACCESS_GROUND.ANOTHER_ORGANISATION);
}

function granted(ground: AccessGround): JobAccess {
  return { kind: "granted", ground };
}

function denied(ground: AccessGround): JobAccess {
  return { kind: "denied", ground };
}
