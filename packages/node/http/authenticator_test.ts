/** Tests of bearer tokens against the configuration in force. */
import { expect } from "chai";
import { createHash } from "node:crypto";
import { createAuthenticate } from "./authenticator.ts";

function digest(token: string): never {
  return createHash("sha256").update(token).digest("hex") as never;
}

describe("createAuthenticate", () => {
  it("follows the configuration, and knows the bootstrap operators only before the first", () => {
    let declarations: object | undefined;
    const authenticate = createAuthenticate({
      configuration: {
        current: () =>
          declarations === undefined ? undefined : { declarations },
      } as never,
      bootstrapOperatorTokenDigests: [digest("first")],
    });
    const tokens = ["first", "operator", "desk", "renewed", "nobody"];
    const look = () =>
      tokens.map((token) => authenticate(`Bearer ${token}`).kind).join(" ");
    const seen = [look()];
    const operatorTokenDigests = [digest("operator")];
    for (const token of ["desk", "renewed"]) {
      const organisations = [{ name: "desk", tokenDigest: digest(token) }];
      declarations = { operatorTokenDigests, organisations };
      seen.push(look());
    }
    seen.push(
      ["Basic desk", "Bearer", "Bearer renewed x", "bearer renewed", undefined]
        .map((header) => authenticate(header).kind).join(" "),
    );
    expect(seen).to.deep.equal([
      "operator unknown unknown unknown unknown",
      "unknown operator organisation unknown unknown",
      "unknown operator unknown organisation unknown",
      "unknown unknown unknown organisation unknown",
    ]);
  });
});
