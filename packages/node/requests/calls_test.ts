/** Promise scenarios of calls over loopback sockets against runner stand-ins. */
import { createRunnerOutput } from "@coltsfootpond/stand-ins";
import { expect } from "chai";
import { send, World } from "./fixture_test.ts";

describe("calls", () => {
  let world: World;

  beforeEach(() => {
    world = new World();
  });

  afterEach(async () => {
    await world.close();
  });

  it("answers a call whole with the answer to its own request", async () => {
    await world.addRunner();
    const port = await world.addEntry();
    const replies = await Promise.all(
      Array.from({ length: 20 }, (_, index) =>
        send({
          port,
          body: `body ${index}`,
          headers: { "idempotency-key": `call-${index}` },
        })),
    );
    for (const [index, reply] of replies.entries()) {
      const expected = createRunnerOutput(
        `call-${index}`,
        new TextEncoder().encode(`body ${index}`),
      );
      expect(reply).to.include({ status: 200, code: "1000", body: expected });
    }
  });
});
