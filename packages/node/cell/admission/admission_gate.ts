/**
 * Applies the decision on admission to submitted jobs: on the published load, with the smallest
 * admitted share, and with a refusal only after the store has made certain that no earlier try of
 * the job is accepted.
 */
import { createHash } from "node:crypto";
import type { FailureDomainName } from "@coltsfootpond/common";
import {
  AdmissionFloor,
  type CellJobSpec,
  countWidestStep,
  decideAdmission,
} from "@coltsfootpond/policy";
import type { OrganisationGuarantee } from "@coltsfootpond/ports";
import type {
  JobRepository,
  RefuseOutcome,
} from "../callers/job_repository.ts";
import type { CellLog } from "../log.ts";
import type { PublishedLoad } from "./published_load.ts";

export interface AdmissionGateOptions {
  readonly entry: string;
  /** Of this entry, through which the callers of the domain submit. */
  readonly failureDomain: FailureDomainName;
  readonly load: Pick<PublishedLoad, "usable">;
  readonly jobRepository: Pick<JobRepository, "refuse">;
  readonly log: CellLog;
}

/**
 * `pass`: the job is submitted as usual; `accepted`: an earlier try is stored; `unknown`: an earlier
 * try may be stored; `refused_now`: none is or will be, and neither is this one.
 */
export type GateOutcome =
  | { readonly kind: "pass" }
  | { readonly kind: "accepted" | "unknown" }
  | {
    readonly kind: "refused_now";
    readonly reason: string;
    readonly retryAfterS: number;
  };

/** Decides for one entry. */
export class AdmissionGate {
  readonly #options: AdmissionGateOptions;
  readonly #floor: AdmissionFloor;

  private constructor(options: AdmissionGateOptions) {
    this.#options = options;
    this.#floor = AdmissionFloor.create((key) =>
      computeShare(`${options.entry} ${key}`)
    );
  }

  static create(options: AdmissionGateOptions): AdmissionGate {
    return new AdmissionGate(options);
  }

  /** `deadlineMs`, on the process's clock, limits the writes that a refusal needs. */
  async check(
    spec: CellJobSpec,
    guarantees: readonly OrganisationGuarantee[],
    deadlineMs: number,
  ): Promise<GateOutcome> {
    const load = this.#options.load.usable;
    if (load === undefined) return { kind: "pass" };
    const decision = decideAdmission({
      spec,
      isGuaranteed: isCovered(spec, guarantees),
      spread: computeShare(spec.jobId),
    }, load.forecast);
    if (decision.kind === "admit") return { kind: "pass" };
    const { reason, retryAfterS, inputs } = decision;
    const { log, jobRepository, failureDomain } = this.#options;
    const fields = {
      job: spec.jobId,
      queue: spec.queue,
      priority: spec.priority,
      organisation: spec.organisation,
      reason,
      retryAfterS,
      ...inputs,
      loadAgeMs: Math.round(load.ageMs),
      loadVersion: load.version,
      epoch: load.epoch,
    };
    const key = `${failureDomain} ${spec.organisation} ${spec.queue}`;
    if (this.#floor.admits(key)) {
      log.info("job.admitted_by_floor", fields);
      return { kind: "pass" };
    }
    const { kind } = await jobRepository.refuse(spec.jobId, deadlineMs);
    if (kind === "refused") log.info("job.refused", fields);
    return createOutcome(kind, reason, retryAfterS);
  }
}

function createOutcome(
  kind: RefuseOutcome["kind"],
  reason: string,
  retryAfterS: number,
): GateOutcome {
  switch (kind) {
    case "refused":
      return { kind: "refused_now", reason, retryAfterS };
    case "accepted":
    case "unknown":
      return { kind };
    case "unavailable":
      return { kind: "pass" };
  }
}

/** Whether the guarantee is large enough, however much of it other jobs use at the moment. */
function isCovered(
  { organisation, steps }: CellJobSpec,
  guarantees: readonly OrganisationGuarantee[],
): boolean {
  return guarantees.some((guarantee) =>
    guarantee.organisation === organisation &&
    guarantee.accelerators >= countWidestStep(steps)
  );
}

/** A number in [0, 1) that depends on the text only. */
function computeShare(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE() / 2 ** 32;
}
