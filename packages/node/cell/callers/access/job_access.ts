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
import { computeKeyTag, findOrganisationByTag } from "./key_tags.ts";

/** A call of a queue, and the declared state that was in force when it arrived. */
export interface QueueCall {
  readonly state: DeclaredState;
  readonly queue: QueueDeclaration;
  /** The API key that it carries, known or not. */
  readonly key: string | undefined;
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
    organisation,
    ...(organisation === undefined || key === undefined
      ? {}
      : { keyTag: computeKeyTag(key) }),
  };
}

/**
 * Whether the call may read and cancel the job. Judged by what is declared now: a job of a queue
 * that is public is open to whoever knows its id, however it was submitted, and a job without an
 * organisation, of a queue that has become private, to each known key. A public queue opens no job
 * of other queues. Besides its organisation, the key by which a job was submitted gives access to
 * it for as long as that key is declared, and shows which organisation is now the owner if the
 * stored name is declared no more.
 */
export function decideJobAccess(call: QueueCall, job: JobOrigin): JobAccess {
  const access = decideCallAccess(call);
  if (access.kind === "unauthenticated") {
    return denied(ACCESS_GROUND.UNKNOWN_KEY);
  }
  const isSameQueue = job.queue === call.queue.queue;
  if (isSameQueue && call.queue.isPublic) {
    return granted(ACCESS_GROUND.PUBLIC_QUEUE);
  }
  const { organisation } = access;
  if (organisation !== undefined) {
    if (organisation === job.organisation) {
      return granted(ACCESS_GROUND.SAME_ORGANISATION);
    }
    if (isSubmittedWith(job, call)) return granted(ACCESS_GROUND.SAME_KEY);
  }
  if (!isSameQueue) return denied(ACCESS_GROUND.ANOTHER_QUEUE);
  if (job.organisation === undefined) {
    return granted(ACCESS_GROUND.NO_ORGANISATION);
  }
  if (isDeclared(call.state, job.organisation)) {
    return denied(ACCESS_GROUND.ANOTHER_ORGANISATION);
  }
  const successor = job.keyTag === undefined
    ? undefined
    : findOrganisationByTag(call.state, job.keyTag);
  if (successor === undefined) {
    return { kind: "undecided", ground: ACCESS_GROUND.UNDECLARED_ORGANISATION };
  }
  return successor === organisation
    ? granted(ACCESS_GROUND.RENAMED_ORGANISATION)
    : denied(ACCESS_GROUND.ANOTHER_ORGANISATION);
}

function isSubmittedWith({ keyTag }: JobOrigin, { key }: QueueCall): boolean {
  return keyTag !== undefined && key !== undefined &&
    keyTag === computeKeyTag(key);
}

/** Also an organisation without a key is declared. */
function isDeclared(
  { shares, organisationByApiKey }: DeclaredState,
  name: OrganisationName,
): boolean {
  return shares.some(({ organisation }) => organisation === name) ||
    [...organisationByApiKey.values()].includes(name);
}

function granted(ground: AccessGround): JobAccess {
  return { kind: "granted", ground };
}

function denied(ground: AccessGround): JobAccess {
  return { kind: "denied", ground };
}
