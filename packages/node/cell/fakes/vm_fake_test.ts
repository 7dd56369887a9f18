import { ManualClock } from "@coltsfootpond/common";
import { expect } from "chai";
import { VmFake } from "./vm_fake.ts";

describe("a fake VM", () => {
  it("has clocks of its own", async () => {
    const clock = ManualClock.create();
    const options = { startMs: 500, rate: 1.01, unixErrorMs: -300 };
    const vm = VmFake.create({ clock, ...options });
    let firedMs: number | undefined;
    vm.after(1_010, () => (firedMs = clock.nowMs()));
    await clock.advance(2_000);
    expect(firedMs).to.equal(1_000);
    expect(vm.nowMs()).to.equal(2_520);
    expect(vm.nowUnixMs()).to.equal(1_700);
  });

  // Guards against sequences that never end, as a timer of less than the clock's precision repeats.
  it("advances the clock with each timer", async () => {
    const clock = ManualClock.create();
    const options = { startMs: 500, rate: 1.01, unixErrorMs: 0 };
    const vm = VmFake.create({ clock, ...options });
    let firedMs: number | undefined;
    vm.after(1e-13, () => (firedMs = clock.nowMs()));
    await clock.advance(10);
    expect(firedMs).to.equal(1);
  });

  it("handles timers and answers after it was frozen", async () => {
    const clock = ManualClock.create();
    const vm = VmFake.create({ clock, startMs: 0, rate: 1, unixErrorMs: 0 });
    const events: string[] = [];
    const log = (event: string) => events.push(`${event} ${clock.nowMs()}`);
    vm.after(100, () => log("timer"));
    const timer = vm.every(400, () => log("period"));
    void vm.receive(clock.sleep(200)).then(() => log("answer"));
    vm.freeze(1_000);
    await clock.advance(1_500);
    timer.cancel();
    await clock.advance(1_000);
    expect(events.sort()).to.deep.equal([
      "answer 1000",
      "period 1000",
      "period 1400",
      "timer 1000",
    ]);
  });
});
