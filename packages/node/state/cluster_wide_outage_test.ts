/** Tests of the rule for a cluster-wide outage of the table service. */
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
  heartbeat: Partial<ClusterMember["lastHeartbeat"]>,
): ClusterMember {
  return {
    entry: brandId<EntryName>("other"),
    lastHeartbeat: {
      tableReachable: false,
      configurationVersion: 4,
      holdings: [{ failureDomain: DOMAIN, epoch: 7 }],
      ...heartbeat,
    },
  };
}

describe("cluster-wide outage", () => {
  it("needs every member connected and none that reaches the table service", () => {
    const silent = { ...createMember({}), lastHeartbeat: undefined };
    const reaching = createMember({ tableReachable: true });
    expect([
      isOutageClusterWide([]),
      isOutageClusterWide([createMember({}), createMember({})]),
      isOutageClusterWide([createMember({}), silent]),
      isOutageClusterWide([createMember({}), reaching]),
    ]).to.eql([true, true, false, false]);
  });

  it("is contested by an equal or higher epoch and outdated by a newer version", () => {
    const members = [createMember({})];
    expect([6, 7, 8].map((epoch) => isUncontested(members, DOMAIN, epoch)))
      .to.eql([false, false, true]);
    expect([3, 4].map((version) => isNewestConfiguration(members, version)))
      .to.eql([false, true]);
  });
});
