/** Tests of the manual clock. */
import { expect } from "chai";
import { ManualClock } from "./clock.ts";

describe("ManualClock", () => {
  it("fires timers in order of due time, then of creation", async () => {
    const clock = ManualClock.create();
    const fired: string[] = [];
    clock.after(20, () => fired.push(`late at ${clock.nowMs()}`));
    clock.after(10, () => fired.push(`first at ${clock.nowMs()}`));
    clock.after(10, () => fired.push(`second at ${clock.nowMs()}`));
    const every = clock.every(
      15,
      () => fired.push(`every at ${clock.nowMs()}`),
    );
    await clock.advance(30);
    every.cancel();
    await clock.advance(30);
    expect(fired).toMatchSnapshot();
  });
});
