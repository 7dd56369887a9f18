/** Tests of the declaration files: what is accepted, what is rejected and how it is reported. */
import { expect } from "chai";
import fc from "fast-check";
import { formatProblem } from "../toml/problem.ts";
import {
  type DeclarationFile,
  parseDeclarations,
} from "./parse_declarations.ts";

const DIGESTS = ["a", "b", "c"].map((letter) => letter.repeat(64));
const RESOURCES =
  "{ milliprocessors = 130_000, memory_mib = 500_000, accelerators = 8 }";

const VALID: readonly DeclarationFile[] = [
  {
    name: "operators.toml",
    text: `operator_token_digests = ["${DIGESTS[0]}"]`,
  },
  {
    name: "organisations.toml",
    text: `
[[organisations]]
name = "gas-desk"
token_digest = "${DIGESTS[1]}"
quota = ${RESOURCES}
requests_per_second = 20
concurrent_requests = 100
queued_jobs = 1000`,
  },
  {
    name: "services.toml",
    text: `
[[services]]
name = "quote"
kind = "call"
organisations = ["gas-desk"]
idempotent = true
maximum_body_bytes = 65_536
timeout_ms = 30_000
progress_timeout_ms = 5_000
slots_per_runner = 8
retry_budget_share = 0.1

[[services]]
name = "survey"
kind = "job"
idempotent = false
maximum_body_bytes = 65_536
expected_run_ms = 60_000
maximum_run_ms = 600_000
can_checkpoint = true
checkpoint_ms = 2_000
[services.shape]
tasks = 2
adjacency = "rack"
per_task = ${RESOURCES}`,
  },
  {
    name: "failure_domains.toml",
    text: `
[[failure_domains]]
name = "landsberg"
region = "bavaria"
drain_ms = 5_000
[[failure_domains.racks]]
name = "landsberg-1"
workers = { prefix = "landsberg-1-", count = 2 }
resources = ${RESOURCES}
[[failure_domains.racks]]
name = "landsberg-2"
workers = [{ name = "landsberg-2-1", resources = ${RESOURCES} }]`,
  },
  {
    name: "guarantees.toml",
    text: `
[[guarantees]]
name = "gas-desk-rack"
organisation = "gas-desk"
count = 1
failure_domain = "landsberg"
shape = { tasks = 2, adjacency = "rack", per_task = ${RESOURCES} }`,
  },
];

/** The valid set with the text of one file edited. */
function change(
  file: string,
  edit: (text: string) => string,
): readonly DeclarationFile[] {
  return VALID.map((item) =>
    item.name === file ? { name: file, text: edit(item.text) } : item
  );
}

function listProblems(files: readonly DeclarationFile[]): readonly string[] {
  const outcome = parseDeclarations(files);
  return outcome.kind === "valid" ? [] : outcome.problems.map(formatProblem);
}

describe("parseDeclarations", () => {
  it("parses a set, fills defaults and expands uniform workers", () => {
    expect(parseDeclarations(VALID)).toMatchSnapshot();
  });

  it("gives the same result however the set is split into files", () => {
    const one = VALID.map((file) => file.text).join("\n");
    expect(parseDeclarations([{ name: "all.toml", text: one }])).to.deep.equal(
      parseDeclarations(VALID),
    );
  });

  it("reports every kind of problem with its location", () => {
    const cases = {
      "unknown key": change("services.toml", (text) => text + "\nretries = 3"),
      "wrong unit": change(
        "services.toml",
        (text) => text.replace("\ntimeout_ms = 30_000", "\ntimeout_s = 30"),
      ),
      "wrong type": change(
        "services.toml",
        (text) => text.replace("timeout_ms = 30_000", 'timeout_ms = "30s"'),
      ),
      "out of range": change(
        "failure_domains.toml",
        (text) => text.replace("count = 2", "count = 0"),
      ),
      "unknown key inside a rack": change(
        "failure_domains.toml",
        (text) => text.replace("count = 2", "count = 2, spare = 1"),
      ),
      "unknown kind": change(
        "services.toml",
        (text) => text.replace('"call"', '"batch"'),
      ),
      "progress timeout above timeout": change(
        "services.toml",
        (text) => text.replace("= 5_000", "= 50_000"),
      ),
      "dangling organisation": change(
        "organisations.toml",
        (text) => text.replace("gas-desk", "gas-desks"),
      ),
      "dangling failure domain": change(
        "guarantees.toml",
        (text) => text.replace('"landsberg"', '"diessen"'),
      ),
      "repeated names": change(
        "failure_domains.toml",
        (text) => text + text.replace("landsberg-1-", "landsberg-2-"),
      ),
      "a shared token": change(
        "operators.toml",
        (text) => text.replace(DIGESTS[0] ?? "", DIGESTS[1] ?? ""),
      ),
      "no operator": VALID.slice(1),
      "not TOML": change("guarantees.toml", (text) => text + "\ncount = = 2"),
      "the same file twice": [...VALID, { name: "operators.toml", text: "" }],
    };
    const problemsByCase = Object.entries(cases).map(([title, files]) => [
      title,
      listProblems(files),
    ]);
    expect(Object.fromEntries(problemsByCase)).toMatchSnapshot();
  });

  it("reports the problems of all files at once", () => {
    const broken = VALID.map((file) => ({
      name: file.name,
      text: file.text.replace("name = ", "title = ").replace('["a', '["A'),
    }));
    const files = new Set(
      listProblems(broken).map((problem) => problem.split(":")[0]),
    );
    expect([...files].sort()).to.deep.equal(
      VALID.map((file) => file.name).sort(),
    );
  });

  it("rejects arbitrary text and never throws", () => {
    fc.assert(
      fc.property(fc.array(fc.string(), { maxLength: 3 }), (texts) => {
        const files = texts.map((text, index) => ({ name: `${index}`, text }));
        expect(parseDeclarations(files).kind).to.equal("invalid");
      }),
      { seed: 7, numRuns: 300 },
    );
  });

  it("never throws, whatever value a key has", () => {
    const lines = VALID.flatMap((file) =>
      file.text.split("\n").map((_line, index) => ({ file, index }))
    );
    const values = fc.oneof(
      fc.constantFrom("-1", "nan", "inf", "[]", "{}", "1979-05-27", "[[]]"),
      fc.constantFrom('""', "true", "9007199254740991", "[{}]", "{ a = [1] }"),
      fc.string().map((text) => JSON.stringify(text)),
    );
    fc.assert(
      fc.property(
        fc.constantFrom(...lines),
        values,
        ({ file, index }, value) => {
          const files = change(
            file.name,
            (text) =>
              text.split("\n").map((line, at) =>
                at === index ? line.replace(/=.*$/, `= ${value}`) : line
              ).join("\n"),
          );
          const outcome = parseDeclarations(files);
          if (outcome.kind === "invalid") {
            expect(outcome.problems).to.not.deep.equal([]);
          }
        },
      ),
      { seed: 7, numRuns: 500 },
    );
  });
});
