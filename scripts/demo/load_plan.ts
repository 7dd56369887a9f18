/** Plans the load of the demo: a seeded mix of requests with the time at which each is sent. */
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
/** One in this many jobs is cancelled shortly after it was sent. */
const JOBS_PER_CANCELLATION = 20;
const CANCEL_DELAY_MS = 300;
const MS_PER_SECOND = 1_000;
/** Makes gangs rarer than single tasks, roughly in proportion to their number of tasks. */
const SINGLE_TASK_WEIGHT = 24;

export interface PlannedRequest {
  readonly requestId: string;
  /** From the start of the load. */
  readonly atMs: number;
  readonly organisation: OrganisationDeclaration;
  readonly service: ServiceDeclaration;
  readonly body: string;
  /** From the sending of the request; undefined when it is not cancelled. */
  readonly cancelAfterMs: number | undefined;
}

function pick<Item>(items: readonly Item[], random: Random): Item {
  const item = items[nextInteger(random, items.length)];
  if (item === undefined) throw new Error("cannot pick from an empty list");
  return item;
}

function getWeight(service: ServiceDeclaration): number {
  if (service.kind === "call") return 1;
  return Math.max(
    1,
    Math.floor(SINGLE_TASK_WEIGHT / service.shape.tasks ** 1.5),
  );
}

function repeatByWeight(
  services: readonly ServiceDeclaration[],
): readonly ServiceDeclaration[] {
  return services.flatMap((service) =>
    Array.from({ length: getWeight(service) }, () => service)
  );
}

/** Requests of one kind of service, with Poisson arrivals. */
function planServiceKind(
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
    const isCancelled = kind === "job" &&
      planned.length % JOBS_PER_CANCELLATION === 7;
    planned.push({
      requestId,
      atMs,
      organisation: pick(declarations.organisations, random),
      service,
      body: JSON.stringify({ id: requestId, run_ms: runMs }),
      cancelAfterMs: isCancelled ? CANCEL_DELAY_MS : undefined,
    });
  }
}

export interface LoadPlanOptions {
  readonly declarations: Declarations;
  readonly random: Random;
  readonly durationMs: number;
}

/** The same options give the same plan. In order of `atMs`. */
export function planLoad(options: LoadPlanOptions): readonly PlannedRequest[] {
  return [
    ...planServiceKind(options, "call", CALLS_PER_SECOND),
    ...planServiceKind(options, "job", JOBS_PER_SECOND),
  ].sort((left, right) => left.atMs - right.atMs);
}
