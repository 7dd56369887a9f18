/**
 * One holder of the scheduler's lease, on a VM with clocks of its own. It may act only while no other
 * VM can have acquired the lease, by its own clocks.
 */
import {
  type ManualClock,
  nextInteger,
  type Random,
} from "@coltsfootpond/common";
import { VmFake } from "../fakes/vm_fake.ts";
import { RENEW_PERIOD_MS, SCHEDULER_LEASE_MS } from "../lease/lease_times.ts";

/** The holder stops acting this long before others may acquire the lease. */
const ACTING_MARGIN_MS = 250;
const MAXIMUM_RATE_ERROR = 0.01;
const MAXIMUM_CLOCK_START_MS = 1_000_000;
const MAXIMUM_UNIX_ERROR_MS = 3_000;
const MINIMUM_FREEZE_MS = 200;
const FREEZE_RANGE_MS = 5_000;

export class LeaseHolder {
  readonly vm: VmFake;
  readonly #clock: ManualClock;
  readonly #random: Random;
  #renewedMs = 0;
  #renewedUnixMs = 0;
  /** The last renewal, on the manual clock. */
  #renewedTrueMs = 0;
  #isReleased = false;
  #isReplaced = false;

  private constructor(clock: ManualClock, random: Random) {
    this.#clock = clock;
    this.#random = random;
    this.vm = VmFake.create({
      clock,
      startMs: nextInteger(random, MAXIMUM_CLOCK_START_MS),
      rate: 1 + MAXIMUM_RATE_ERROR * (2 * random.next() - 1),
      unixErrorMs: nextInteger(random, 2 * MAXIMUM_UNIX_ERROR_MS) -
        MAXIMUM_UNIX_ERROR_MS,
    });
    this.#renew();
    this.vm.every(RENEW_PERIOD_MS, () => this.#renew());
  }

  /** Acquires the lease for a VM whose clocks are drawn. */
  static create(clock: ManualClock, random: Random): LeaseHolder {
    return new LeaseHolder(clock, random);
  }

  canAct(): boolean {
    if (this.#isReleased) return false;
    const limitMs = SCHEDULER_LEASE_MS - ACTING_MARGIN_MS;
    return this.vm.nowMs() - this.#renewedMs < limitMs &&
      this.vm.nowUnixMs() - this.#renewedUnixMs < limitMs;
  }

  /** Gives up the lease, so that another VM may acquire it at once. */
  release(): void {
    this.#isReleased = true;
    this.#isReplaced = true;
  }

  /** Freezes the process for a while; `onLapsed` is called if the lease lapses meanwhile. */
  freeze(onLapsed: () => void): void {
    this.vm.freeze(
      MINIMUM_FREEZE_MS + nextInteger(this.#random, FREEZE_RANGE_MS),
    );
    const lapseMs = this.#renewedTrueMs + SCHEDULER_LEASE_MS;
    this.#clock.after(lapseMs - this.#clock.nowMs(), () => {
      const ageMs = this.#clock.nowMs() - this.#renewedTrueMs;
      if (this.#isReplaced || ageMs < SCHEDULER_LEASE_MS) return;
      // Its next renewal fails.
      this.#isReplaced = true;
      onLapsed();
    });
  }

  #renew(): void {
    if (this.#isReplaced) return;
    this.#renewedMs = this.vm.nowMs();
    this.#renewedUnixMs = this.vm.nowUnixMs();
    this.#renewedTrueMs = this.#clock.nowMs();
  }
}
