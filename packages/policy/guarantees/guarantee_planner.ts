/**
 * Says which failure domain holds which guarantee. A pure function of the accepted declarations and
 * of the failure domains out, so every entry computes the same plan without agreement.
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

/** Tasks of one guaranteed gang on one worker. */
export interface GuaranteedTasks {
  readonly rack: RackName;
  readonly worker: WorkerName;
  readonly tasks: number;
}

/** One guaranteed gang and where it is held. */
export interface GuaranteeHolding {
  readonly guarantee: GuaranteeDeclaration;
  readonly ordinal: number;
  readonly failureDomain: FailureDomainName;
  readonly tasks: readonly GuaranteedTasks[];
}

/** A guaranteed gang that has no place. */
export interface GuaranteeProblem {
  readonly guarantee: GuaranteeName;
  readonly organisation: OrganisationName;
  readonly ordinal: number;
  /** The failure domain whose loss leaves no place; absent when there is none even so. */
  readonly withDomainOut?: FailureDomainName;
  readonly detail: string;
}

export interface GuaranteePlan {
  readonly holdings: readonly GuaranteeHolding[];
  readonly problems: readonly GuaranteeProblem[];
}

interface PlannedUnit {
  readonly guarantee: GuaranteeDeclaration;
  readonly ordinal: number;
  home: FailureDomainName | undefined;
}

function compareText(left: string, right: string): number {
  return left < right ? -1 : left > right ? 1 : 0;
}

function listUnits(guarantees: readonly GuaranteeDeclaration[]): PlannedUnit[] {
  const units = guarantees.flatMap((guarantee) =>
    Array.from(
      { length: guarantee.count },
      (_, ordinal) => ({ guarantee, ordinal, home: undefined }),
    )
  );
  return units.sort((left, right) => compareUnits(left, right));
}

/** Units with least choice first; the names make the order the same everywhere. */
function compareUnits(left: PlannedUnit, right: PlannedUnit): number {
  const freedom = ({ guarantee }: PlannedUnit): number =>
    guarantee.failureDomain === undefined ? 1 : 0;
  return freedom(left) - freedom(right) ||
    compareShapesHardestFirst(left.guarantee.shape, right.guarantee.shape) ||
    compareText(left.guarantee.organisation, right.guarantee.organisation) ||
    compareText(left.guarantee.name, right.guarantee.name) ||
    left.ordinal - right.ordinal;
}

/** The guarantees that each failure domain carries while a plan is made. */
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

  /** Whether racks that hold guarantees already have room for one more. */
  hasOpenRack({ shape }: GuaranteeDeclaration): boolean {
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

  /** Adds one unit if all still fit. */
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

class DeploymentPacker {
  readonly #packers: readonly DomainPacker[];

  private constructor(packers: readonly DomainPacker[]) {
    this.#packers = packers;
  }

  static create(
    domains: readonly FailureDomainDeclaration[],
    out: ReadonlySet<FailureDomainName>,
  ): DeploymentPacker {
    const packers = domains
      .filter((domain) => !out.has(domain.name))
      .sort((left, right) => compareText(left.name, right.name))
      .map((domain) => DomainPacker.create(domain));
    return new DeploymentPacker(packers);
  }

  /**
   * Homes the unit where it was before if it can stay, else in a rack that holds guarantees
   * already, so that other racks stay whole; false when no failure domain takes it. */
  place(unit: PlannedUnit, preferred: FailureDomainName | undefined): boolean {
    const { failureDomain } = unit.guarantee;
    const packers = this.#packers
      .filter(({ name }) =>
        failureDomain === undefined || name === failureDomain
      )
      .sort((left, right) =>
        Number(right.name === preferred) - Number(left.name === preferred) ||
        Number(right.hasOpenRack(unit.guarantee)) -
          Number(left.hasOpenRack(unit.guarantee)) ||
        left.units.length - right.units.length ||
        compareText(left.name, right.name)
      );
    const home = packers.find((packer) => packer.add(unit.guarantee));
    unit.home = home?.name;
    return home !== undefined;
  }

  listHoldings(): GuaranteeHolding[] {
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

/** Units whose loss is tolerated come last, so they never take the place of one that must stay. */
function packDeployment(
  declarations: Declarations,
  out: ReadonlySet<FailureDomainName>,
  homes: ReadonlyMap<string, FailureDomainName>,
): PackOutcome {
  const packer = DeploymentPacker.create(declarations.failureDomains, out);
  const units = listUnits(declarations.guarantees);
  const mayBeLost = (unit: PlannedUnit): boolean => {
    const home = homes.get(getUnitKey(unit));
    return home !== undefined && out.has(home) &&
      !unit.guarantee.survivesDomainLoss;
  };
  const ordered = [
    ...units.filter((unit) => !mayBeLost(unit)),
    ...units.filter(mayBeLost),
  ];
  const unplaced = ordered.filter((unit) =>
    !packer.place(unit, homes.get(getUnitKey(unit)))
  );
  return { packer, units, unplaced };
}

function createProblem(
  { guarantee, ordinal }: PlannedUnit,
  withDomainOut?: FailureDomainName,
): GuaranteeProblem {
  const where = withDomainOut === undefined
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
      } of ${guarantee.count}: ${where}`,
  };
}

/**
 * Homes every guaranteed gang. With no failure domain out, the problems also name the guarantees
 * that must survive the loss of one and would not; with some out, they name the gangs without a
 * place now.
 */
export function planGuarantees(
  declarations: Declarations,
  domainsOut: readonly FailureDomainName[],
): GuaranteePlan {
  const basis = packDeployment(declarations, new Set(), new Map());
  const homes = new Map<string, FailureDomainName>();
  for (const unit of basis.units) {
    if (unit.home !== undefined) homes.set(getUnitKey(unit), unit.home);
  }
  if (domainsOut.length > 0) {
    const revised = packDeployment(declarations, new Set(domainsOut), homes);
    return {
      holdings: revised.packer.listHoldings(),
      problems: revised.unplaced.map((unit) => createProblem(unit)),
    };
  }
  const problems = basis.unplaced.map((unit) => createProblem(unit));
  const mustSurvive = declarations.guarantees.some((guarantee) =>
    guarantee.survivesDomainLoss
  );
  if (problems.length === 0 && mustSurvive) {
    problems.push(...findSurvivalProblems(declarations, homes));
  }
  return { holdings: basis.packer.listHoldings(), problems };
}

function findSurvivalProblems(
  declarations: Declarations,
  homes: ReadonlyMap<string, FailureDomainName>,
): GuaranteeProblem[] {
  return declarations.failureDomains.flatMap(({ name }) => {
    const { unplaced } = packDeployment(declarations, new Set([name]), homes);
    return unplaced
      .filter((unit) =>
        unit.guarantee.survivesDomainLoss ||
        homes.get(getUnitKey(unit)) !== name
      )
      .map((unit) => createProblem(unit, name));
  });
}

/** The guarantees that one failure domain holds, as its engine is told. */
export function listDomainGuarantees(
  plan: GuaranteePlan,
  failureDomain: FailureDomainName,
): readonly GuaranteeDeclaration[] {
  const held = new Map<string, GuaranteeDeclaration>();
  for (const { guarantee, failureDomain: home } of plan.holdings) {
    if (home !== failureDomain) continue;
    const key = `${guarantee.organisation}/${guarantee.name}`;
    const count = (held.get(key)?.count ?? 0) + 1;
    held.set(key, { ...guarantee, count });
  }
  return [...held.values()];
}
