/** Tests of the closed-world rule. */
import { brandId, type EntryName } from "@coltsfootpond/common";
import { expect } from "chai";
import {
  type ClusterMember,
  isNewestConfiguration,
  isOutageClusterWide,
  isUncontested,
} from "./cluster_wide_outage.ts";

const DOMAIN = "landsberg" as never;

function createMember(
  heard: Partial<ClusterMember["lastHeartbeat"]>,
): ClusterMember {
  return {
    entry: brandId<EntryName>("other"),
    lastHeartbeat: {
      tableReachable: false,
      configurationVersion: 4,
      holdings: [{ failureDomain: DOMAIN, epoch: 7 }],
      ...heard,
    },
  };
}

describe("closed world", () => {
  it("needs every member in contact and none at the table", () => {
    const silent = { ...createMember({}), lastHeartbeat: undefined };
    const reaching = createMember({ tableReachable: true });
    expect([
      isOutageClusterWide([]),
      isOutageClusterWide([createMember({}), createMember({})]),
      isOutageClusterWide([createMember({}), silent]),
      isOutageClusterWide([createMember({}), reaching]),
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
