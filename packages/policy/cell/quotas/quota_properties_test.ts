/** Properties of quotas and weighted shares over random courses of a cell. */
import type { OrganisationName } from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import { RANK_TIER } from "../job_rank.ts";
import { ACCELERATORS, createStepOf, createWaiting } from "./quota_fixtures.ts";
import { type CourseUnit, type Limits, ShareCourse } from "./share_course.ts";

const NAMES = ["a", "b", "c"] as OrganisationName[];
const SEED = 20_401;
const RUNS = 200;
/** These courses are long. */
const FLOODS = 60;
const WORKERS = 3;
const ROUNDS = 30;
/** Enough for all work of a course to run one after another. */
const MAXIMUM_ROUNDS = 2_000;

const anyUnit = fc.record({
  organisation: fc.constantFrom(...NAMES),
  accelerators: fc.integer({ min: 1, max: ACCELERATORS }),
  count: fc.integer({ min: 1, max: WORKERS }),
  rounds: fc.integer({ min: 1, max: 8 }),
  fromRound: fc.integer({ min: 0, max: ROUNDS }),
  density: fc.integer({ min: 0, max: 5 }),
  isUrgent: fc.boolean(),
  isGuaranteed: fc.boolean(),
});
type AnyUnit = Readonly<
  typeof anyUnit extends fc.Arbitrary<infer T> ? T : never
>;

const anyLimits = fc.record({
  weight: fc.option(fc.integer({ min: 1, max: 4 }), { nil: undefined }),
  accelerators: fc.option(fc.integer({ min: 1, max: WORKERS * ACCELERATORS }), {
    nil: undefined,
  }),
});

const anyChange = fc.oneof(
  fc.record({
    kind: fc.constant("limits" as const),
    round: fc.integer({ min: 0, max: ROUNDS }),
    limits: fc.tuple(anyLimits, anyLimits, anyLimits),
  }),
  fc.record({
    kind: fc.constant("holder" as const),
    round: fc.integer({ min: 0, max: ROUNDS }),
    unreported: fc.array(fc.boolean(), { maxLength: 8 }),
  }),
);

const anyCourse = fc.record({
  units: fc.array(anyUnit, { maxLength: 40 }),
  changes: fc.array(anyChange, { maxLength: 6 }),
  limits: fc.tuple(anyLimits, anyLimits, anyLimits),
});

function createUnit(unit: AnyUnit, number: number): CourseUnit {
  const step = createStepOf(unit.accelerators, {
    count: unit.count,
    isGang: unit.count > 1,
  });
  const isGuaranteed = unit.isUrgent && unit.isGuaranteed;
  return {
    request: createWaiting(
      `${unit.organisation}${number}`,
      unit.organisation,
      step,
      {
        rank: {
          tier: isGuaranteed ? RANK_TIER.GUARANTEED : RANK_TIER.ORDINARY,
          density: unit.density,
        },
        // A guarantee covers evictions that gain nothing.
        evictionGain: unit.isUrgent && !isGuaranteed ? 1 : 0,
        displacementCost: unit.isUrgent ? undefined : 0.1,
      },
    ),
    fromRound: unit.fromRound,
    rounds: unit.rounds,
  };
}

function toLimits(
  values: readonly { weight?: number; accelerators?: number }[],
): Limits {
  return new Map(NAMES.map((name, index) => [name, values[index] ?? {}]));
}

function check(
  property: Parameters<typeof fc.assert>[0],
  numRuns = RUNS,
): void {
  fc.assert(property as fc.IProperty<unknown>, { seed: SEED, numRuns });
}

describe("quotas over any course of a cell", () => {
  // Guards against starts over a quota, and capacity that is idle although a unit could use it.
  it("are never exceeded by a start, and keep no other unit waiting", () => {
    check(fc.property(anyCourse, ({ units, changes, limits }) => {
      const course = ShareCourse.create(WORKERS);
      const all = units.map(createUnit);
      let present = toLimits(limits);
      let startable: readonly string[] = [];
      for (let round = 0; round < ROUNDS + 10; round++) {
        all.filter(({ fromRound }) => fromRound === round)
          .forEach((unit) => course.submit(unit));
        for (const change of changes) {
          if (change.round !== round) continue;
          if (change.kind === "limits") present = toLimits(change.limits);
          else course.changeHolder((run) => !change.unreported[run], 4);
        }
        const { plan } = course.step(present);
        const started = new Set(plan.placements.map(({ unit }) => unit[0]));
        for (const [organisation, { accelerators }] of present) {
          if (!started.has(organisation) || accelerators === undefined) {
            continue;
          }
          expect(course.countUsed(organisation)).to.be.at.most(accelerators);
        }
        // Workers on which a unit waits for evicted runs are kept for it.
        const isKept = plan.evictions.length > 0 || course.isStopping;
        const others = isKept ? [] : course.listStartable(present);
        // A unit that was planned before a displacement starts in the next round.
        const missed = others.filter((unit) => startable.includes(unit));
        expect(missed).to.deep.equal([]);
        startable = others;
      }
    }));
  });

  // Guards against an organisation or a wide unit that waits for ever, and evictions without end.
  it("starve no unit that its quota and the cell can hold", () => {
    check(fc.property(anyCourse, ({ units, limits }) => {
      const course = ShareCourse.create(WORKERS);
      const present = toLimits(limits);
      const all = units.map(createUnit);
      const possible = all.filter((
        { request: { organisation, step, count } },
      ) =>
        (present.get(organisation!)?.accelerators ?? Infinity) >=
          step.need.accelerators * count
      );
      possible.forEach((unit) => course.submit(unit));
      while (course.waiting.length > 0 && course.round < MAXIMUM_ROUNDS) {
        course.step(present);
      }
      expect(course.waiting.map(({ request }) => request.unit)).to.deep.equal(
        [],
      );
    }));
  });

  // Guards against a wide gang that waits while small units take each place that comes free.
  it("start a wide gang of an organisation without runs in spite of a flood", () => {
    const anyGang = fc.record({
      accelerators: fc.integer({ min: 1, max: ACCELERATORS }),
      count: fc.integer({ min: 1, max: WORKERS - 1 }),
      rounds: fc.integer({ min: 1, max: 12 }),
    });
    check(
      fc.property(anyGang, ({ accelerators, count, rounds }) => {
        const course = ShareCourse.create(WORKERS);
        const limits = toLimits([{ weight: 1 }, { weight: 1 }]);
        const unit = {
          organisation: NAMES[0]!,
          accelerators: 1,
          count: 1,
          rounds,
          fromRound: 0,
          density: 1,
          isUrgent: false,
          isGuaranteed: false,
        };
        const gang = createUnit(
          { ...unit, organisation: NAMES[1]!, accelerators, count, density: 0 },
          0,
        );
        for (let round = 0; round < 20; round++) {
          if (round === 12) course.submit(gang);
          for (let more = 0; more < 5; more++) {
            // Runs of several lengths, so that few places come free at once.
            const length = 1 + (more + rounds) % 12;
            const number = 1 + round * 5 + more;
            course.submit(createUnit({ ...unit, rounds: length }, number));
          }
          course.step(limits);
        }
        expect(course.waiting.includes(gang)).to.equal(false);
        // The evicted units have one accelerator each; more evictions would have been in vain.
        expect(course.evictions).to.be.at.most(accelerators * count);
      }),
      FLOODS,
    );
  });

  // Guards against an organisation whose steady flood keeps the others from their shares.
  it("keep organisations with waiting work within one gang of their shares", () => {
    const anyFlood = fc.record({
      weights: fc.array(fc.integer({ min: 1, max: 4 }), {
        minLength: 2,
        maxLength: 3,
      }),
      needs: fc.array(fc.integer({ min: 1, max: 4 }), {
        minLength: 3,
        maxLength: 3,
      }),
      counts: fc.array(fc.integer({ min: 1, max: 2 }), {
        minLength: 3,
        maxLength: 3,
      }),
      rounds: fc.array(fc.integer({ min: 2, max: 12 }), {
        minLength: 3,
        maxLength: 3,
      }),
    });
    check(
      fc.property(anyFlood, ({ weights, needs, counts, rounds }) => {
        const course = ShareCourse.create(WORKERS);
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        const limits = toLimits(weights.map((weight) => ({ weight })));
        const widest = Math.max(
          ...weights.map((_, index) => needs[index]! * counts[index]!),
        );
        let number = 0;
        const sums = weights.map(() => 0);
        const measured = 100;
        for (let round = 0; round < 2 * measured; round++) {
          for (const index of weights.keys()) {
            const organisation = NAMES[index]!;
            const waiting = course.waiting.filter(({ request }) =>
              request.organisation === organisation
            ).length;
            // The first organisations' jobs are of more value.
            for (let more = waiting; more < 30; more++) {
              course.submit(createUnit({
                organisation,
                accelerators: needs[index]!,
                count: counts[index]!,
                rounds: rounds[index]!,
                fromRound: 0,
                density: -index,
                isUrgent: false,
                isGuaranteed: false,
              }, number++));
            }
          }
          course.step(limits);
          if (round < measured) {
            continue;
          }
          for (const index of weights.keys()) {
            sums[index]! += course.countUsed(NAMES[index]!);
          }
        }
        weights.forEach((weight, index) => {
          const share = weight / total * WORKERS * ACCELERATORS;
          expect(sums[index]! / measured, `${NAMES[index]} of ${share}`).to.be
            .at.least(
              share - widest,
            );
        });
      }),
      FLOODS,
    );
  });

  // Guards against a guarantee that waits for the work of organisations with a larger weight.
  it("let a guaranteed unit start within a round of its evictions", () => {
    const anyFiller = fc.array(anyUnit, { minLength: 10, maxLength: 30 });
    check(
      fc.property(
        anyFiller,
        anyUnit,
        anyCourse,
        (units, urgent, { limits }) => {
          const course = ShareCourse.create(WORKERS);
          const present = toLimits(limits.map(({ weight }) => ({ weight })));
          units.map((unit) => ({ ...unit, isUrgent: false, rounds: 20 }))
            .map(createUnit).forEach((unit) => course.submit(unit));
          course.step(present);
          course.submit(createUnit(
            { ...urgent, isUrgent: true, isGuaranteed: true },
            units.length,
          ));
          for (let round = 0; round < 2; round++) course.step(present);
          expect(
            course.waiting.some(({ request }) =>
              request.rank.tier === RANK_TIER.GUARANTEED
            ),
          ).to.equal(false);
        },
      ),
    );
  });
});
