/**
 * Assigns every guarantee unit (one gang of a guarantee) to a failure domain. A pure function of
 * the accepted declarations and the failure domains out of service, so every entry computes the
 * same plan without coordination.
 */
import type {
  Declarations,
  FailureDomainDeclaration,
  FailureDomainName,
  GuaranteeDeclaration,
  GuaranteeName,
  OrganisationName,
  RackName,
  WorkerName,
} from "@coltsfootpond/common";
import { CapacityModel, countUnreserved } from "../placement/capacity_model.ts";
import { findPlaces } from "../placement/packing.ts";
import { compareShapesHardestFirst } from "../placement/resources.ts";
import { ReservationPlan } from "./reservation_plan.ts";

/** Tasks of one guarantee unit on one worker. */
export interface GuaranteedTasks {
  readonly rack: RackName;
  readonly worker: WorkerName;
  readonly tasks: number;
}

/** One guarantee unit and the failure domain and workers that it is assigned to. */
export interface GuaranteeAssignment {
  readonly guarantee: GuaranteeDeclaration;
  /** Index among the units of the guarantee, from 0. */
  readonly ordinal: number;
  readonly failureDomain: FailureDomainName;
  readonly tasks: readonly GuaranteedTasks[];
}

/** A guarantee unit that has no place. */
export interface GuaranteeProblem {
  readonly guarantee: GuaranteeName;
  readonly organisation: OrganisationName;
  readonly ordinal: number;
  /** The failure domain whose loss would leave no place; absent if there is no place even now. */
  readonly withDomainOut?: FailureDomainName;
  readonly detail: string;
}

/** The assignments of the guarantee units that have a place, and the problems of the plan. */
export interface GuaranteePlan {
  readonly assignments: readonly GuaranteeAssignment[];
  readonly problems: readonly GuaranteeProblem[];
}

/** A guarantee unit while a plan is made. */
interface PlannedUnit {
  readonly guarantee: GuaranteeDeclaration;
  readonly ordinal: number;
  /** Undefined while it is not assigned. */
  failureDomain: FailureDomainName | undefined;
}

function compareText(left: string, right: string): number {
  return left < right ? -1 : left > right ? 1 : 0;
}

function listUnits(guarantees: readonly GuaranteeDeclaration[]): PlannedUnit[] {
  const units = guarantees.flatMap((guarantee) =>
    Array.from(
      { length: guarantee.count },
      (_, ordinal) => ({ guarantee, ordinal, failureDomain: undefined }),
    )
  );
  return units.sort((left, right) => compareUnits(left, right));
}

/** Units that are hardest to place come first; ties are ordered by name, alike on every entry. */
function compareUnits(left: PlannedUnit, right: PlannedUnit): number {
  const rankDomainChoice = ({ guarantee }: PlannedUnit): number =>
    guarantee.failureDomain === undefined ? 1 : 0;
  return rankDomainChoice(left) - rankDomainChoice(right) ||
    compareShapesHardestFirst(left.guarantee.shape, right.guarantee.shape) ||
    compareText(left.guarantee.organisation, right.guarantee.organisation) ||
    compareText(left.guarantee.name, right.guarantee.name) ||
    left.ordinal - right.ordinal;
}

/** Packs guarantee units into one failure domain while a plan is made. */
class DomainPacker {
  readonly #domain: FailureDomainDeclaration;
  #guarantees: GuaranteeDeclaration[] = [];
  #capacity = CapacityModel.create({ onChange: () => {} });
  #plan: ReservationPlan;

  private constructor(domain: FailureDomainDeclaration) {
    this.#domain = domain;
    this.#plan = this.#pack([]);
  }

  static create(domain: FailureDomainDeclaration): DomainPacker {
    return new DomainPacker(domain);
  }

  get name(): FailureDomainName {
    return this.#domain.name;
  }

  get units(): ReservationPlan["units"] {
    return this.#plan.units;
  }

  /** Whether the unit fits into the racks where capacity is already reserved. */
  fitsInReservedRacks({ shape }: GuaranteeDeclaration): boolean {
    const racks = [...this.#capacity.racks].filter(({ workers }) =>
      workers.some(({ reserved }) => reserved.milliprocessors > 0)
    );
    const places = findPlaces(
      racks,
      shape,
      (worker) => countUnreserved(worker, shape.perTask),
    );
    return places.length > 0;
  }

  /**
   * Adds one unit if all units then fit: first beside the others, else by packing all of them anew.
   * Returns false if the unit does not fit.
   */
  add(guarantee: GuaranteeDeclaration): boolean {
    const single = { ...guarantee, count: 1 };
    this.#plan.configure([...this.#guarantees, single]);
    if (this.#plan.listUnplacedUnits().length === 0) {
      this.#guarantees.push(single);
      return true;
    }
    this.#plan = this.#pack([...this.#guarantees, single]);
    if (this.#plan.listUnplacedUnits().length === 0) {
      this.#guarantees.push(single);
      return true;
    }
    this.#plan = this.#pack(this.#guarantees);
    return false;
  }

  #pack(guarantees: readonly GuaranteeDeclaration[]): ReservationPlan {
    const capacity = CapacityModel.create({ onChange: () => {} });
    this.#capacity = capacity;
    for (const rack of this.#domain.racks) {
      for (const worker of rack.workers) {
        capacity.bringUp({ ...worker, rack: rack.name });
      }
    }
    const plan = ReservationPlan.create({ capacity, onDetach: () => {} });
    plan.configure(guarantees);
    return plan;
  }
}

/** Packs guarantee units into the failure domains in service. */
class DeploymentPacker {
  readonly #packers: readonly DomainPacker[];

  private constructor(packers: readonly DomainPacker[]) {
    this.#packers = packers;
  }

  static create(
    domains: readonly FailureDomainDeclaration[],
    domainsOut: ReadonlySet<FailureDomainName>,
  ): DeploymentPacker {
    const packers = domains
      .filter((domain) => !domainsOut.has(domain.name))
      .sort((left, right) => compareText(left.name, right.name))
      .map((domain) => DomainPacker.create(domain));
    return new DeploymentPacker(packers);
  }

  /**
   * Assigns the unit to `preferred` if it fits there, else to a failure domain where it fits into
   * racks with reservations, so that other racks stay free of them, else to any where it fits.
   * Returns false if it fits nowhere.
   */
  place(unit: PlannedUnit, preferred: FailureDomainName | undefined): boolean {
    const { failureDomain } = unit.guarantee;
    const packers = this.#packers
      .filter(({ name }) =>
        failureDomain === undefined || name === failureDomain
      )
      .sort((left, right) =>
        Number(right.name === preferred) - Number(left.name === preferred) ||
        Number(right.fitsInReservedRacks(unit.guarantee)) -
          Number(left.fitsInReservedRacks(unit.guarantee)) ||
        left.units.length - right.units.length ||
        compareText(left.name, right.name)
      );
    const chosen = packers.find((packer) => packer.add(unit.guarantee));
    unit.failureDomain = chosen?.name;
    return chosen !== undefined;
  }

  /** Numbers the units of each guarantee anew, in the order of the failure domains. */
  listAssignments(): GuaranteeAssignment[] {
    const counts = new Map<string, number>();
    const nextOrdinal = ({ organisation, name }: GuaranteeDeclaration) => {
      const key = `${organisation}/${name}`;
      const ordinal = counts.get(key) ?? 0;
      counts.set(key, ordinal + 1);
      return ordinal;
    };
    return this.#packers.flatMap((packer) =>
      packer.units.map((unit) => ({
        guarantee: unit.guarantee,
        ordinal: nextOrdinal(unit.guarantee),
        failureDomain: packer.name,
        tasks: (unit.place ?? []).map(({ worker, tasks }) => ({
          rack: worker.rack.name,
          worker: worker.name,
          tasks,
        })),
      }))
    );
  }
}

interface PackOutcome {
  readonly packer: DeploymentPacker;
  readonly units: readonly PlannedUnit[];
  readonly unplaced: readonly PlannedUnit[];
}

function getUnitKey({ guarantee, ordinal }: PlannedUnit): string {
  return `${guarantee.organisation}/${guarantee.name}/${ordinal}`;
}

/**
 * Packs all guarantee units into the failure domains that are not in `domainsOut`, each preferably
 * into its own of `assignedDomains`. Units that may be lost with their failure domain are placed
 * last, so that they never displace one that must be kept.
 */
function packDeployment(
  declarations: Declarations,
  domainsOut: ReadonlySet<FailureDomainName>,
  assignedDomains: ReadonlyMap<string, FailureDomainName>,
): PackOutcome {
  const packer = DeploymentPacker.create(
    declarations.failureDomains,
    domainsOut,
  );
  const units = listUnits(declarations.guarantees);
  const mayBeLost = (unit: PlannedUnit): boolean => {
    const domain = assignedDomains.get(getUnitKey(unit));
    return domain !== undefined && domainsOut.has(domain) &&
      !unit.guarantee.survivesDomainLoss;
  };
  const ordered = [
    ...units.filter((unit) => !mayBeLost(unit)),
    ...units.filter(mayBeLost),
  ];
  const unplaced = ordered.filter((unit) =>
    !packer.place(unit, assignedDomains.get(getUnitKey(unit)))
  );
  return { packer, units, unplaced };
}

function createProblem(
  { guarantee, ordinal }: PlannedUnit,
  withDomainOut?: FailureDomainName,
): GuaranteeProblem {
  const cause = withDomainOut === undefined
    ? "does not fit beside the other guarantees"
    : `does not fit with failure domain "${withDomainOut}" out`;
  return {
    guarantee: guarantee.name,
    organisation: guarantee.organisation,
    ordinal,
    ...(withDomainOut === undefined ? {} : { withDomainOut }),
    detail:
      `guarantee "${guarantee.name}" of organisation "${guarantee.organisation}", gang ${
        ordinal + 1
      } of ${guarantee.count}: ${cause}`,
  };
}

/**
 * Assigns every guarantee unit to a failure domain. The problems list the units that have no place
 * now. If there are none and all failure domains are in service, they list the units that must have
 * a place after the loss of any one failure domain and would not. Called by entries and by the
 * `check` command.
 */
export function planGuarantees(
  declarations: Declarations,
  domainsOut: readonly FailureDomainName[],
): GuaranteePlan {
  const initial = packDeployment(declarations, new Set(), new Map());
  const assignedDomains = new Map<string, FailureDomainName>();
  for (const unit of initial.units) {
    if (unit.failureDomain !== undefined) {
      assignedDomains.set(getUnitKey(unit), unit.failureDomain);
    }
  }
  if (domainsOut.length > 0) {
    const revised = packDeployment(
      declarations,
      new Set(domainsOut),
      assignedDomains,
    );
    return {
      assignments: revised.packer.listAssignments(),
      problems: revised.unplaced.map((unit) => createProblem(unit)),
    };
  }
  const problems = initial.unplaced.map((unit) => createProblem(unit));
  const mustSurvive = declarations.guarantees.some((guarantee) =>
    guarantee.survivesDomainLoss
  );
  if (problems.length === 0 && mustSurvive) {
    problems.push(...findDomainLossProblems(declarations, assignedDomains));
  }
  return { assignments: initial.packer.listAssignments(), problems };
}

/** Units that would have no place after the loss of one failure domain and must have one. */
function findDomainLossProblems(
  declarations: Declarations,
  assignedDomains: ReadonlyMap<string, FailureDomainName>,
): GuaranteeProblem[] {
  return declarations.failureDomains.flatMap(({ name }) => {
    const { unplaced } = packDeployment(
      declarations,
      new Set([name]),
      assignedDomains,
    );
    return unplaced
      .filter((unit) =>
        unit.guarantee.survivesDomainLoss ||
        assignedDomains.get(getUnitKey(unit)) !== name
      )
      .map((unit) => createProblem(unit, name));
  });
}

/** The guarantees of one failure domain, each with the count of its units there, for its engine. */
export function listDomainGuarantees(
  plan: GuaranteePlan,
  failureDomain: FailureDomainName,
): readonly GuaranteeDeclaration[] {
  const byKey = new Map<string, GuaranteeDeclaration>();
  for (const { guarantee, failureDomain: assigned } of plan.assignments) {
    if (assigned !== failureDomain) continue;
    const key = `${guarantee.organisation}/${guarantee.name}`;
    const count = (byKey.get(key)?.count ?? 0) + 1;
    byKey.set(key, { ...guarantee, count });
  }
  return [...byKey.values()];
}
