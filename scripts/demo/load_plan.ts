/** The seeded mix of requests: what is sent when, before anything is sent. */
import {
  type Declarations,
  nextInteger,
  type OrganisationDeclaration,
  type Random,
  type ServiceDeclaration,
} from "@coltsfootpond/common";

const CALLS_PER_SECOND = 40;
const JOBS_PER_SECOND = 7;
const JOB_MINIMUM_RUN_MS = 300;
const JOB_RUN_SPREAD_MS = 2_200;
/** Every so many jobs is cancelled shortly after it was sent. */
const CANCEL_EVERY = 20;
const CANCEL_AFTER_MS = 300;
const MS_PER_SECOND = 1_000;
/** Gangs are rarer than single tasks, in rough proportion to their size. */
const WEIGHT_OF_SINGLE = 24;

export interface PlannedRequest {
  readonly requestId: string;
  readonly atMs: number;
  readonly organisation: OrganisationDeclaration;
  readonly service: ServiceDeclaration;
  readonly body: string;
  readonly cancelAfterMs: number | undefined;
}

function pick<Item>(items: readonly Item[], random: Random): Item {
  const item = items[nextInteger(random, items.length)];
  if (item === undefined) throw new Error("nothing to pick from");
  return item;
}

function getWeight(service: ServiceDeclaration): number {
  if (service.kind === "call") return 1;
  return Math.max(1, Math.floor(WEIGHT_OF_SINGLE / service.shape.tasks ** 1.5));
}

function repeatByWeight(
  services: readonly ServiceDeclaration[],
): readonly ServiceDeclaration[] {
  return services.flatMap((service) =>
    Array.from({ length: getWeight(service) }, () => service)
  );
}

/** Arrivals are a Poisson process per kind of service. */
function planKind(
  options: LoadPlanOptions,
  kind: ServiceDeclaration["kind"],
  perSecond: number,
): PlannedRequest[] {
  const { declarations, random, durationMs } = options;
  const services = repeatByWeight(
    declarations.services.filter((service) => service.kind === kind),
  );
  const planned: PlannedRequest[] = [];
  let atMs = 0;
  for (;;) {
    atMs += -Math.log(1 - random.next()) * MS_PER_SECOND / perSecond;
    if (atMs >= durationMs) return planned;
    const service = pick(services, random);
    const requestId = `${kind}-${planned.length + 1}`;
    const runMs = JOB_MINIMUM_RUN_MS + nextInteger(random, JOB_RUN_SPREAD_MS);
    const cancels = kind === "job" && planned.length % CANCEL_EVERY === 7;
    planned.push({
      requestId,
      atMs,
      organisation: pick(declarations.organisations, random),
      service,
      body: JSON.stringify({ id: requestId, run_ms: runMs }),
      cancelAfterMs: cancels ? CANCEL_AFTER_MS : undefined,
    });
  }
}

export interface LoadPlanOptions {
  readonly declarations: Declarations;
  readonly random: Random;
  readonly durationMs: number;
}

/** In order of time. */
export function planLoad(options: LoadPlanOptions): readonly PlannedRequest[] {
  return [
    ...planKind(options, "call", CALLS_PER_SECOND),
    ...planKind(options, "job", JOBS_PER_SECOND),
  ].sort((left, right) => left.atMs - right.atMs);
}
