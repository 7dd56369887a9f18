/** Tests of the closed-world rule. */
import { brandId, type EntryName } from "@coltsfootpond/common";
import { expect } from "chai";
import {
  isNewestConfiguration,
  isUncontested,
  isWorldClosed,
  type WorldMember,
} from "./closed_world.ts";

const DOMAIN = "landsberg" as never;

function createMember(heard: Partial<WorldMember["heard"]>): WorldMember {
  return {
    entry: brandId<EntryName>("other"),
    heard: {
      tableReachable: false,
      configurationVersion: 4,
      holdings: [{ failureDomain: DOMAIN, epoch: 7 }],
      ...heard,
    },
  };
}

describe("closed world", () => {
  it("needs every member in contact and none at the table", () => {
    const silent = { ...createMember({}), heard: undefined };
    const reaching = createMember({ tableReachable: true });
    expect([
      isWorldClosed([]),
      isWorldClosed([createMember({}), createMember({})]),
      isWorldClosed([createMember({}), silent]),
      isWorldClosed([createMember({}), reaching]),
    ]).to.eql([true, true, false, false]);
  });

  it("is contested by an epoch as high and outdated by a newer version", () => {
    const members = [createMember({})];
    expect([6, 7, 8].map((epoch) => isUncontested(members, DOMAIN, epoch)))
      .to.eql([false, false, true]);
    expect([3, 4].map((version) => isNewestConfiguration(members, version)))
      .to.eql([false, true]);
  });
});
