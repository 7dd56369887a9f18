import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import {
  type DeclarationFile,
  parseDeclarations,
  parseSettings,
} from "@coltsfootpond/common";
import { planGuarantees } from "@coltsfootpond/policy";
import { expect } from "chai";

const EXAMPLES = "examples";

function readExample(name: string): readonly DeclarationFile[] {
  const directory = join(EXAMPLES, name);
  return readdirSync(directory).sort().map((file) => ({
    name: file,
    text: readFileSync(join(directory, file), "utf8"),
  }));
}

describe("examples", () => {
  for (const name of ["lechfeld", "propuestas_andinas"]) {
    it(`${name} is valid and its guarantees fit all at once`, () => {
      const outcome = parseDeclarations(readExample(name));
      expect(outcome.kind).to.equal("valid");
      if (outcome.kind !== "valid") return;
      const { declarations } = outcome;
      expect(planGuarantees(declarations, []).problems).to.deep.equal([]);
      expect(declarations.organisations).to.have.length(4);
      expect(declarations.failureDomains).to.have.length(3);
    });
  }

  it("node.toml is valid", () => {
    const fileName = join(EXAMPLES, "node.toml");
    const text = readFileSync(fileName, "utf8");
    expect(parseSettings({ text, fileName }).kind).to.equal("valid");
  });
});
