/** Filter that admits calls up to the adaptive limit of their service; others wait or fail. */
import type {
  CallServiceDeclaration,
  Clock,
  ServiceName,
} from "@coltsfootpond/common";
import type { UpstreamPool } from "../../upstreams/pool.ts";
import type { RequestFilter } from "../filter_chain.ts";
import { ServiceAdmission } from "../service_admission.ts";
import type { CallRequest, RequestOutcome } from "../types.ts";

export interface AdmissionOptions {
  readonly clock: Clock;
  readonly pool: UpstreamPool;
}

/** The admission of each service, created at its first call. */
export class Admissions {
  readonly #options: AdmissionOptions;
  readonly #services = new Map<ServiceName, ServiceAdmission>();

  private constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  static create(options: AdmissionOptions): Admissions {
    return new Admissions(options);
  }

  get(service: CallServiceDeclaration): ServiceAdmission {
    let admission = this.#services.get(service.name);
    if (admission === undefined) {
      const { clock, pool } = this.#options;
      admission = ServiceAdmission.create({
        clock,
        service,
        getCapacity: (declared) => pool.getCapacity(declared),
      });
      this.#services.set(service.name, admission);
    }
    return admission;
  }

  list(): readonly (readonly [ServiceName, ServiceAdmission])[] {
    return [...this.#services];
  }
}

export function createAdmissionFilter(
  admissions: Admissions,
): RequestFilter<CallRequest, CallRequest> {
  return {
    name: "admission",
    async handle(request, next): Promise<RequestOutcome> {
      const admission = admissions.get(request.service);
      const refusal = await admission.enter(request);
      if (refusal !== undefined) return refusal;
      try {
        return await next(request);
      } finally {
        admission.leave();
      }
    },
  };
}
