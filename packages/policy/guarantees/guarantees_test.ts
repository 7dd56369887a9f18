/** Tests of assigning guarantees to failure domains, dividing quotas and checking shapes. */
import {
  brandId,
  type Declarations,
  type FailureDomainDeclaration,
  type FailureDomainName,
  type GuaranteeDeclaration,
  type OrganisationDeclaration,
} from "@coltsfootpond/common";
import { expect } from "chai";
import fc from "fast-check";
import { checkShape } from "../placement/shape_check.ts";
import {
  createGuarantee,
  createOrganisation,
  createShape,
} from "../placement/test_fixtures.ts";
import { planGuarantees } from "./guarantee_planner.ts";
import { splitQuotas } from "./quota_split.ts";

function createDomain(name: string, workers: number): FailureDomainDeclaration {
  return {
    name: brandId(name),
    region: brandId("bavaria"),
    drainMs: 5_000,
    racks: [{
      name: brandId(`${name}-rack`),
      workers: Array.from({ length: workers }, (_, index) => ({
        name: brandId(`${name}-worker-${index}`),
        resources: createShape(1, 8, "worker").perTask,
      })),
    }],
  };
}

function declare(
  guarantees: readonly GuaranteeDeclaration[],
  organisations: readonly OrganisationDeclaration[] = [
    createOrganisation("gas"),
    createOrganisation("bids"),
  ],
): Declarations {
  return {
    operatorTokenDigests: [],
    organisations,
    guarantees,
    services: [],
    failureDomains: ["diessen", "landsberg"].map((name) =>
      createDomain(name, 4)
    ),
  };
}

const GANG = createShape(2, 8, "rack");
const SURVIVES_DOMAIN_LOSS = { survivesDomainLoss: true };

describe("planGuarantees", () => {
  it("assigns guarantees, reassigns them with a failure domain out of service and lists what does not fit", () => {
    const fitting = declare([
      createGuarantee("desk", "gas", GANG, SURVIVES_DOMAIN_LOSS),
      createGuarantee("layout", "bids", GANG),
    ]);
    const tooMany = declare([
      createGuarantee("desk", "gas", GANG, {
        ...SURVIVES_DOMAIN_LOSS,
        count: 3,
      }),
    ]);
    const tooWide = declare([
      createGuarantee("desk", "gas", createShape(5, 8, "rack")),
    ]);
    const out = [brandId<FailureDomainName>("diessen")];
    expect({
      fitting: planGuarantees(fitting, []),
      oneOut: planGuarantees(fitting, out),
      tooMany: planGuarantees(tooMany, []).problems,
      tooWide: planGuarantees(tooWide, []).problems,
      nearest: checkShape(tooWide, createShape(5, 8, "rack")),
    }).toMatchSnapshot();
  });
});

describe("splitQuotas", () => {
  it("never divides more than the quota and gives each failure domain what its guarantees need", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 16, max: 200 }),
        fc.nat(2),
        (accelerators, count) => {
          const quota = { milliprocessors: 1e6, memoryMib: 1e7, accelerators };
          const organisation = createOrganisation("gas", { quota });
          const guarantee = createGuarantee("desk", "gas", GANG, { count });
          const declarations = declare([guarantee], [organisation]);
          const plan = planGuarantees(declarations, []);
          const shares = [...splitQuotas(declarations, plan, []).values()]
            .flat();
          const sum = shares.reduce(
            (total, share) => total + share.quota.accelerators,
            0,
          );
          expect(sum).to.be.at.most(accelerators);
          expect(sum).to.be.at.least(accelerators - 1);
          const assigned = plan.assignments.length * 16;
          if (assigned > accelerators) return;
          const needByDomain = new Map<string, number>();
          for (const { failureDomain } of plan.assignments) {
            needByDomain.set(
              failureDomain,
              (needByDomain.get(failureDomain) ?? 0) + 16,
            );
          }
          const byDomain = splitQuotas(declarations, plan, []);
          for (const [name, need] of needByDomain) {
            const share = byDomain.get(brandId(name))?.[0]?.quota.accelerators;
            expect(share).to.be.at.least(need);
          }
        },
      ),
      { seed: 5, numRuns: 100 },
    );
  });
});
