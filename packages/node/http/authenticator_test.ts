/** Tests of the authentication of bearer tokens against the configuration in force. */
import { expect } from "chai";
import { createHash } from "node:crypto";
import { createAuthenticate } from "./authenticator.ts";

function digest(token: string): never {
  return createHash("sha256").update(token).digest("hex") as never;
}

describe("createAuthenticate", () => {
  it("uses the configured tokens, and the bootstrap operators only before the first configuration", () => {
    let declarations: object | undefined;
    const authenticate = createAuthenticate({
      configuration: {
        current: () =>
          declarations === undefined ? undefined : { declarations },
      } as never,
      bootstrapOperatorTokenDigests: [digest("first")],
    });
    const tokens = ["first", "operator", "desk", "renewed", "nobody"];
    const authenticateAll = () =>
      tokens.map((token) => authenticate(`Bearer ${token}`).kind).join(" ");
    const seen = [authenticateAll()];
    const operatorTokenDigests = [digest("operator")];
    for (const token of ["desk", "renewed"]) {
      const organisations = [{ name: "desk", tokenDigest: digest(token) }];
      declarations = { operatorTokenDigests, organisations };
      seen.push(authenticateAll());
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
