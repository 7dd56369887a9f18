/**
 * The order in which a round plans units: by rank, and where organisations have weighted shares of a
 * full service, by tier. Within a tier of such a service, first comes what fits into the share of its
 * organisation, then what takes an organisation that is below its share beyond it, then all else; the
 * organisation that has least for its weight goes first. So an organisation above its share gets only
 * what the others cannot use. Units of one organisation stay in order of rank. Work that a guarantee
 * covers comes first, whatever the shares.
 */
import type { OrganisationName, ServiceName } from "@coltsfootpond/common";
import { compareRanks, RANK_TIER } from "../job_rank.ts";
import type { WaitingUnit } from "../plan_round.ts";
import type { WeightedShares } from "./weighted_shares.ts";

const PHASE = { IN_SHARE: 0, BELOW_SHARE: 1, ABOVE_SHARE: 2 } as const;
type Phase = (typeof PHASE)[keyof typeof PHASE];

/** Units in order of rank, with their positions in this order. */
type RankedUnit<Unit> = readonly [request: WaitingUnit<Unit>, order: number];

/** Units of one organisation, or of all where the service has no contention. */
interface OwnerQueue<Unit> {
  readonly units: RankedUnit<Unit>[];
  position: number;
  phase: Phase;
  /** Dominant share for each unit of weight. */
  fill: number;
}

export class ShareQueue<Unit> {
  readonly #shares: WeightedShares | undefined;
  /** Units of the tiers that have not begun. */
  #laterTiers: RankedUnit<Unit>[];
  /** Queues of the tier that is being planned. */
  #services: readonly OwnerQueue<Unit>[][] = [];
  /** Units that were displaced, which come next. */
  readonly #displaced: WaitingUnit<Unit>[] = [];
  /** State of the shares for which the queues have their phases. */
  #shareChanges = -1;

  private constructor(
    units: readonly WaitingUnit<Unit>[],
    shares: WeightedShares | undefined,
  ) {
    this.#shares = shares;
    this.#laterTiers = [...units].sort((left, right) =>
      compareRanks(left.rank, right.rank)
    ).map((request, order) => [request, order]);
  }

  /** Without shares, the order is that of rank. */
  static create<Unit>(
    units: readonly WaitingUnit<Unit>[],
    shares: WeightedShares | undefined,
  ): ShareQueue<Unit> {
    return new ShareQueue(units, shares);
  }

  /** The next unit, by the shares in use when it is called; undefined at the end. */
  next(): WaitingUnit<Unit> | undefined {
    const displaced = this.#displaced.shift();
    if (displaced !== undefined) return displaced;
    const queue = this.#findNext();
    if (queue === undefined) {
      if (this.#laterTiers.length === 0) return undefined;
      this.#beginTier();
      return this.next();
    }
    const [request] = queue.units[queue.position]!;
    queue.position++;
    this.#update(queue);
    return request;
  }

  /** Puts units that were displaced in front. */
  putBack(units: readonly WaitingUnit<Unit>[]): void {
    this.#displaced.unshift(...units);
  }

  /** Services have separate workers; among them, the best rank goes first. */
  #findNext(): OwnerQueue<Unit> | undefined {
    const changes = this.#shares?.changes ?? 0;
    const isChanged = changes !== this.#shareChanges;
    this.#shareChanges = changes;
    let best: OwnerQueue<Unit> | undefined;
    for (const queues of this.#services) {
      if (isChanged) queues.forEach((queue) => this.#update(queue));
      const first = findLeast(queues, compareByShare);
      if (first === undefined) continue;
      if (best === undefined || getOrder(first) < getOrder(best)) best = first;
    }
    return best;
  }

  #beginTier(): void {
    const units = this.#laterTiers;
    const tier = units[0]?.[0].rank.tier;
    const end = units.findIndex(([{ rank }]) => rank.tier !== tier);
    this.#laterTiers = end < 0 ? [] : units.slice(end);
    const services = new Map<
      ServiceName | undefined,
      Map<OrganisationName | undefined, OwnerQueue<Unit>>
    >();
    for (const unit of end < 0 ? units : units.slice(0, end)) {
      const [{ service, organisation, rank }] = unit;
      const isShared = rank.tier !== RANK_TIER.GUARANTEED &&
        this.#shares?.isContended(service) === true;
      const serviceKey = isShared ? service : undefined;
      const ownerKey = isShared ? organisation : undefined;
      const owners = services.get(serviceKey) ?? new Map();
      services.set(serviceKey, owners);
      const queue = owners.get(ownerKey);
      if (queue !== undefined) queue.units.push(unit);
      else owners.set(ownerKey, createQueue(unit));
    }
    this.#services = [...services.values()].map((owners) => [
      ...owners.values(),
    ]);
    this.#shareChanges = -1;
  }

  /** Sets the phase for the queue's next unit. */
  #update(queue: OwnerQueue<Unit>): void {
    const next = queue.units[queue.position];
    if (next === undefined || this.#shares === undefined) return;
    const [request] = next;
    const isShared = request.rank.tier !== RANK_TIER.GUARANTEED &&
      this.#shares.isContended(request.service);
    if (!isShared) return;
    queue.fill = this.#shares.computeFill(request);
    if (this.#shares.isInShare(request)) queue.phase = PHASE.IN_SHARE;
    else if (this.#shares.isBelow(request)) queue.phase = PHASE.BELOW_SHARE;
    else queue.phase = PHASE.ABOVE_SHARE;
  }
}

function createQueue<Unit>(unit: RankedUnit<Unit>): OwnerQueue<Unit> {
  return { units: [unit], position: 0, phase: PHASE.IN_SHARE, fill: 0 };
}

/** Infinite at the end of the queue. */
function getOrder<Unit>({ units, position }: OwnerQueue<Unit>): number {
  return units[position]?.[1] ?? Number.POSITIVE_INFINITY;
}

function compareByShare<Unit>(
  left: OwnerQueue<Unit>,
  right: OwnerQueue<Unit>,
): number {
  return left.phase - right.phase || left.fill - right.fill ||
    getOrder(left) - getOrder(right);
}

/** The least queue that is not at its end. */
function findLeast<Unit>(
  queues: readonly OwnerQueue<Unit>[],
  compare: (left: OwnerQueue<Unit>, right: OwnerQueue<Unit>) => number,
): OwnerQueue<Unit> | undefined {
  let least: OwnerQueue<Unit> | undefined;
  for (const queue of queues) {
    if (queue.position >= queue.units.length) continue;
    if (least === undefined || compare(queue, least) < 0) least = queue;
  }
  return least;
}
