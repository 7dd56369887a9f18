/** Tests of an entry's settings file. */
import { expect } from "chai";
import fc from "fast-check";
import { formatProblem } from "../toml/problem.ts";
import { parseSettings } from "./parse_settings.ts";

const VALID = `
entry = "entry-1"
region = "bavaria"
failure_domain = "landsberg"
host = "127.0.0.1"
http_port = 0
mesh_port = 7000
platform_host = "127.0.0.1"
platform_port = 9000
mesh_secret = "0123456789abcdef"
bootstrap_operator_token_digests = ["${"a".repeat(64)}"]`;

function parse(text: string) {
  return parseSettings({ text, fileName: "node.toml" });
}

function listProblems(text: string): readonly string[] {
  const outcome = parse(text);
  return outcome.kind === "valid" ? [] : outcome.problems.map(formatProblem);
}

describe("parseSettings", () => {
  it("parses the settings and fills defaults", () => {
    expect(parse(VALID)).toMatchSnapshot();
  });

  it("reports all problems at once and repeats no secret", () => {
    const text = VALID
      .replace("0123456789abcdef", "hunter2")
      .replace("7000", "70000")
      .replace("platform_port", "platform_prot") + "\nstop_timeout_s = 5";
    const problems = listProblems(text);
    expect(problems).toMatchSnapshot();
    expect(problems.join()).to.not.contain("hunter2");
    expect(listProblems("entry = ")).toMatchSnapshot();
  });

  it("never throws on arbitrary text", () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        expect(parse(text).kind).to.equal("invalid");
      }),
      { seed: 7, numRuns: 300 },
    );
  });
});
