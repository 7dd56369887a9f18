/** `status`: prints an entry's report of itself, the members, the failure domains and one job. */
import { type CommandContext, defineCommand } from "../command.ts";
import type { EntryClient, EntryOutcome } from "../entry_client.ts";
import { EXIT_CODE } from "../exit_codes.ts";
import { printResult, readJson, reportFailure } from "../results.ts";
import {
  formatFailureDomain,
  type JobDocument,
  type StatusDocument,
} from "../status_documents.ts";

function formatJob(job: JobDocument): string {
  const parts = [`${job.jobId}: ${job.state} in ${job.failureDomain}`];
  if (job.waitReason !== undefined) parts.push(`waits: ${job.waitReason}`);
  if (job.resultName !== undefined) parts.push(job.resultName);
  return parts.join(", ");
}

function formatConfiguration(
  { version, confirmedAgeMs, fresh }: StatusDocument["configuration"],
): string {
  const state = fresh ? "confirmed" : "NOT confirmed in time";
  const age = confirmedAgeMs === null
    ? "never confirmed"
    : `last confirmed ${Math.round(confirmedAgeMs)} ms ago`;
  return `configuration ${version}, ${state}, ${age}`;
}

function formatStatus(status: StatusDocument): readonly string[] {
  const { configuration } = status;
  return [
    `entry ${status.entry} in ${status.failureDomain}`,
    formatConfiguration(configuration),
    ...status.members.map((member) =>
      `member ${member.entry} ${member.host}:${member.httpPort} ${member.state}${
        member.self ? " (self)" : member.connected ? "" : " (not connected)"
      }`
    ),
    ...status.failureDomains.map(formatFailureDomain),
    ...(status.job === undefined ? [] : [formatJob(status.job)]),
  ];
}

function getStatus(
  client: EntryClient,
  job: string | undefined,
): Promise<EntryOutcome> {
  const query = job === undefined ? "" : `?job=${encodeURIComponent(job)}`;
  return client.send({ method: "GET", path: `/v1/status${query}` });
}

/** Adds the job's status from the owner of its failure domain: only it reports why a job waits. */
async function fetchJobFromOwner(
  context: CommandContext,
  status: StatusDocument,
  job: string,
): Promise<StatusDocument> {
  const domain = status.failureDomains.find((one) =>
    one.failureDomain === status.job?.failureDomain
  );
  const owner = status.members.find((one) => one.entry === domain?.owner);
  if (owner === undefined || owner.self) return status;
  const client = context.client.withEntry({
    host: owner.host,
    port: owner.httpPort,
  });
  const outcome = await getStatus(client, job);
  if (outcome.kind !== "response" || outcome.response.status !== 200) {
    return status;
  }
  return { ...status, job: readJson<StatusDocument>(outcome.response).job };
}

export const STATUS_COMMAND = defineCommand({
  usage: "status",
  describe: "Show an entry's view of the deployment",
  positionals: {},
  flags: {
    job: {
      type: "string",
      describe: "ORGANISATION/REQUEST_ID: also show this job and why it waits",
    },
  },
  async run(context, args) {
    const outcome = await getStatus(context.client, args.job);
    const failure = reportFailure(context, outcome);
    if (failure !== undefined) return failure;
    if (outcome.kind !== "response") return EXIT_CODE.INTERNAL;
    const status = readJson<StatusDocument>(outcome.response);
    const statusWithJob = args.job === undefined
      ? status
      : await fetchJobFromOwner(context, status, args.job);
    printResult(context, statusWithJob, formatStatus);
    return EXIT_CODE.OK;
  },
});
