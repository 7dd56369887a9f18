import { expect } from "chai";
import { parsePort } from "./port.ts";

describe("a port", () => {
  it("is a number from 1 to 65535", () => {
    for (const port of [1, 80, 8_000, 65_535]) {
      expect(parsePort(String(port))).to.equal(port);
    }
    for (const text of ["0", "-1", "65536", "1.5", "Infinity", "NaN", ""]) {
      expect(parsePort(text), text).to.equal(undefined);
    }
  });

  // Guards against texts that mean another port, or none, to whoever wrote them.
  it("is written in decimal digits", () => {
    const texts = ["8e3", " 80", "80 ", "80\n", "0x50", "0b1", "0o7", "+80"];
    for (const text of [...texts, "080", "80.0", "８０", "8_0"]) {
      expect(parsePort(text), text).to.equal(undefined);
    }
  });
});
