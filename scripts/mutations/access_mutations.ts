/** Mutations of the rules by which callers read and cancel jobs. */
import type { Mutation } from "./types.ts";

const NODE = "packages/node/cell";
const CALLERS = `${NODE}/callers`;
const JOB_ACCESS = `${CALLERS}/access/job_access.ts`;
const TABLE_TEST = `${CALLERS}/access/job_access_test.ts`;
const QUEUE_TEST = `${CALLERS}/access/changed_queue_test.ts`;
const ORGANISATION_TEST = `${CALLERS}/access/changed_organisation_test.ts`;
const ID_TEST = `${CALLERS}/access/known_id_test.ts`;
const SHOWN = "an accepted job is shown to its caller";
const HIDDEN = "a job is shown to no other caller";

export const ACCESS_MUTATIONS: readonly Mutation[] = [
  {
    name: "compare the organisations on a public queue too",
    promise: SHOWN,
    file: JOB_ACCESS,
    find: `  return queue.isPublic &&\n`,
    replace: `  return false &&\n`,
    spec: QUEUE_TEST,
    title: "once its queue is public",
  },
  {
    name: "show a job without an organisation to nobody",
    promise: SHOWN,
    file: JOB_ACCESS,
    find: `    return granted(ACCESS_GROUND.NO_ORGANISATION);`,
    replace: `    return denied(ACCESS_GROUND.NO_ORGANISATION);`,
    spec: QUEUE_TEST,
    title: "once its queue is no longer public",
  },
  {
    name: "match queues by name only",
    promise: SHOWN,
    file: JOB_ACCESS,
    find:
      `  return job.addressTag === computeAddressTag(queue) ? "same" : "another";`,
    replace: `  return "another";`,
    spec: QUEUE_TEST,
    title: "is shown, cancelled and counted as waiting",
  },
  {
    name: "count waiting jobs by the queue's name only",
    promise: SHOWN,
    file: `${CALLERS}/live_jobs_by_queue.ts`,
    find: `return [...new Set([...named, ...addressed])];`,
    replace: `return [...named];`,
    spec: QUEUE_TEST,
    title: "is shown, cancelled and counted as waiting",
  },
  {
    name: "leave the key of the submission out of account",
    promise: SHOWN,
    file: JOB_ACCESS,
    find: `if (isKeyKnown && job.keyTag === computeKeyTag(key)) {`,
    replace: `if (isKeyKnown && job.keyTag === "") {`,
    spec: ORGANISATION_TEST,
    title: "is shown with its key that has moved",
  },
  {
    name: "take the stored name for the owner, declared or not",
    promise: SHOWN,
    file: `${NODE}/job_origins/find_owner.ts`,
    find:
      `if (organisation === undefined || listDeclared(state).has(organisation)) {`,
    replace: `if (listDeclared(state).size >= 0) {`,
    spec: ORGANISATION_TEST,
    title: "under another name",
  },
  {
    name: "forget the key when a job ends",
    promise: SHOWN,
    file: `${NODE}/progress_writer.ts`,
    find: `    ...pickOrigin(job.spec),\n`,
    replace: `    ...pickOrigin({ ...job.spec, keyTag: undefined }),\n`,
    spec: ORGANISATION_TEST,
    title: "keeps its key when it ends",
  },
  {
    name: "look the guarantee up by the stored name",
    promise: SHOWN,
    file: `${NODE}/cell_scheduler.ts`,
    find: `findOwner: (spec: CellJobSpec) => findOwner(state, spec),`,
    replace: `findOwner: ({ organisation }: CellJobSpec) => organisation,`,
    spec: ORGANISATION_TEST,
    title: "keeps the guarantee",
  },
  {
    name: "answer a submission of a known id as accepted",
    promise: SHOWN,
    file: `${CALLERS}/caller_filters.ts`,
    find: `  switch (denial?.kind) {\n    case undefined:`,
    replace:
      `  switch (denial?.kind) {\n    case "absent":\n    case undefined:`,
    furtherEdits: [{
      file: `${CALLERS}/caller_filters.ts`,
      find:
        `    case "absent":\n      return {\n        status: STATUS.CONFLICT,`,
      replace:
        `    case "undecided":\n      return {\n        status: STATUS.CONFLICT,`,
    }],
    spec: ID_TEST,
    title: "is not accepted a second time",
  },
  {
    name: "bar an id for all callers",
    promise: SHOWN,
    file: `${CALLERS}/job_repository.ts`,
    find: `return { kind: "barred", endedUnixMs, origin: createOrigin(call) };`,
    replace: `return { kind: "barred", endedUnixMs };`,
    spec: ID_TEST,
    title: "is not accepted from another caller",
  },
  {
    name: "open the jobs of all queues through a public one",
    promise: HIDDEN,
    file: JOB_ACCESS,
    find:
      `      return denied(ACCESS_GROUND.ANOTHER_QUEUE);\n    case "unknown":`,
    replace:
      `      return call.queue.isPublic ? granted(ACCESS_GROUND.PUBLIC_QUEUE) : denied(ACCESS_GROUND.ANOTHER_QUEUE);\n    case "unknown":`,
    spec: QUEUE_TEST,
    title: "is not reached through another queue that is public",
  },
  {
    name: "open a job as soon as one of two queues is public",
    promise: HIDDEN,
    file: JOB_ACCESS,
    find: `      other.isPublic || relateQueue(other, job) !== "same"`,
    replace: `      other.isPublic || relateQueue(other, job) !== undefined`,
    spec: TABLE_TEST,
    title: "while one of two queues that may be the job's is private",
  },
  {
    name: "let each known key at the jobs of a removed organisation",
    promise: HIDDEN,
    file: JOB_ACCESS,
    find:
      `    return { kind: "undecided", ground: ACCESS_GROUND.UNDECLARED_ORGANISATION };`,
    replace: `    return granted(ACCESS_GROUND.UNDECLARED_ORGANISATION);`,
    spec: ORGANISATION_TEST,
    title: "while it can't be told who owns it",
  },
  {
    name: "let each known key at the jobs of an organisation without keys",
    promise: HIDDEN,
    file: `${NODE}/job_origins/find_owner.ts`,
    find: `      ...state.shares.map(({ organisation }) => organisation),\n`,
    replace: ``,
    spec: TABLE_TEST,
    title: "follows from organisation and key",
  },
];
