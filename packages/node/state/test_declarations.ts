/** Declarations for the test cluster: failure domains of one region and nothing else. */
import {
  brandId,
  type FailureDomainName,
  type RegionName,
} from "@coltsfootpond/common";
import type {
  ConfigurationFile,
  ParseOutcome,
} from "../configuration/types.ts";

export const REGION = brandId<RegionName>("alpha");

/** Declares the given failure domains, whatever the files; the file text `broken` is invalid. */
export function parseTestFiles(
  files: readonly ConfigurationFile[],
  failureDomains: readonly string[],
): ParseOutcome {
  if (files.some((file) => file.text === "broken")) {
    return { kind: "invalid", problems: [{ message: "broken" }] };
  }
  return {
    kind: "valid",
    declarations: {
      operatorTokenDigests: [],
      organisations: [],
      guarantees: [],
      services: [],
      failureDomains: failureDomains.map((name) => ({
        name: brandId<FailureDomainName>(name),
        region: REGION,
        racks: [],
        drainMs: 1_000,
      })),
    },
  };
}
