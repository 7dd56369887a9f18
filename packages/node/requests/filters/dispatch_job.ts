/** Filter that submits requests for job services as jobs, and passes calls on. */
import type { JobOperations, JobStatus } from "../../types.ts";
import type { RequestFilter } from "../filter_chain.ts";
import { digestBody } from "../digest_body.ts";
import type { JobWaits } from "../job_waits.ts";
import {
  type AuthorisedRequest,
  type CallRequest,
  failed,
  type RequestOutcome,
} from "../types.ts";

export interface DispatchJobOptions {
  readonly jobs: JobOperations;
  readonly waits: JobWaits;
}

async function submit(
  request: AuthorisedRequest,
  options: DispatchJobOptions,
): Promise<RequestOutcome> {
  const { organisation, requestId, service, exchange } = request;
  const submitted = await options.jobs.submit({
    organisation: organisation.name,
    requestId,
    service: service.name,
    bodyDigest: digestBody(exchange.body),
    payload: new TextDecoder().decode(exchange.body),
  });
  if (submitted.kind === "refused") {
    return failed(submitted.resultName, submitted);
  }
  const lookup = await options.waits.waitForEnd({
    organisation: organisation.name,
    requestId,
    wait: request.wait,
    deadlineMs: request.deadlineMs,
  });
  if (lookup?.kind === "found") return { kind: "job", status: lookup.status };
  const { jobId, failureDomain } = submitted;
  const status: JobStatus = { jobId, failureDomain, state: "queued" };
  return { kind: "job", status };
}

export function createDispatchJobFilter(
  options: DispatchJobOptions,
): RequestFilter<AuthorisedRequest, CallRequest> {
  return {
    name: "dispatch_job",
    async handle(request, next) {
      const { service, deadlineMs, exchange } = request;
      if (service.kind === "job") return await submit(request, options);
      return await next({
        ...request,
        service,
        deadlineMs: deadlineMs ?? exchange.receivedMs + service.timeoutMs,
        signal: request.idempotent ? exchange.signal : undefined,
      });
    },
  };
}
