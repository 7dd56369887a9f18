/**
 * Sends one entry's commands to fake workers over connections. A connection ends with the process
 * to which it was opened. A command that names an incarnation is written only to a connection over
 * which that incarnation has reported. At an address that the named worker does not have, another
 * worker, a closed port or nothing answers.
 */
import type { ManualClock, WorkerName } from "@coltsfootpond/common";
import type {
  RenewCommand,
  RenewOutcome,
  StartOutcome,
  StopOutcome,
  Unavailable,
  WorkerPort,
  WorkerTarget,
} from "@coltsfootpond/ports";
import {
  CONNECTION_LOST,
  UNANSWERED,
  type WorkerFake,
} from "../workers_fake.ts";
import { findListener } from "./worker_addresses.ts";

/** Least time until a call arrives. */
const CALL_DURATION_MS = 2;
/** Period at which a long poll looks for an end. */
const POLL_CHECK_PERIOD_MS = 10;
const NOT_SENT: Unavailable = {
  kind: "unavailable",
  effect: "refused",
  reason: "not sent",
};

interface Connection {
  readonly processNumber: number;
  /** The worker's count when it was opened. */
  readonly silenceCount: number;
  /** The incarnation that has reported over it. */
  incarnationStartUnixMs: number | undefined;
}

/** A call, and how the worker's process carries it out. */
interface Call<Outcome> {
  readonly epoch: number;
  /** Undefined for a call that any incarnation may receive. */
  readonly incarnationStartUnixMs: number | undefined;
  readonly maySend: () => boolean;
  readonly carryOut: () => Outcome | Promise<Outcome>;
}

/** The report of another incarnation than the named one, to which the call was not sent. */
interface OtherIncarnation {
  readonly kind: "other";
  readonly report: RenewOutcome;
}

/** The answer at an address that the named worker does not have. */
type OtherAnswer =
  | { readonly kind: "wrong_life" }
  | { readonly kind: "fenced" }
  | Unavailable;

/** The connections of one entry to one worker. */
class WorkerConnectionsFake {
  readonly #worker: WorkerFake;
  readonly #clock: ManualClock;
  #connection: Connection | undefined;

  private constructor(worker: WorkerFake, clock: ManualClock) {
    this.#worker = worker;
    this.#clock = clock;
  }

  static create(worker: WorkerFake, clock: ManualClock): WorkerConnectionsFake {
    return new WorkerConnectionsFake(worker, clock);
  }

  /** Sends the call, which may still arrive after the time-out. */
  async exchange<Outcome extends { readonly kind: string }>(
    call: Call<Outcome>,
    timeoutMs: number,
  ): Promise<Outcome | OtherIncarnation | Unavailable> {
    return await new Promise((resolve) => {
      const timer = this.#clock.after(timeoutMs, () => {
        this.#connection = undefined;
        resolve(UNANSWERED);
      });
      void this.#exchange(call).then((outcome) => {
        timer.cancel();
        resolve(outcome);
      });
    });
  }

  async #exchange<Outcome extends { readonly kind: string }>(
    call: Call<Outcome>,
  ): Promise<Outcome | OtherIncarnation | Unavailable> {
    const known = this.#findOpen();
    const connection = known ?? await this.#open();
    const named = call.incarnationStartUnixMs;
    let isWritten = known === undefined;
    if (named !== undefined) {
      if (connection.incarnationStartUnixMs === undefined) {
        const report = await this.#request(call, connection, isWritten);
        if (report.kind === "unavailable") return NOT_SENT;
        const isOther = connection.incarnationStartUnixMs !== named;
        if (isOther) return { kind: "other", report };
        isWritten = false;
      } else if (connection.incarnationStartUnixMs !== named) {
        const report = await this.#request(call, connection, isWritten);
        return { kind: "other", report };
      }
    }
    if (!call.maySend()) return NOT_SENT;
    return await this.#carry(connection, isWritten, call.carryOut);
  }

  /** Asks whichever incarnation answers for its report, without a lease or an acknowledgement. */
  #request(
    { epoch, maySend }: Call<unknown>,
    connection: Connection,
    isWritten: boolean,
  ): Promise<RenewOutcome> {
    return this.#carry(connection, isWritten, () =>
      this.#worker.renew({
        epoch,
        maySend,
        incarnationStartUnixMs: undefined,
        leaseUntilMs: undefined,
        acknowledgedSequence: 0,
        longPollMs: 0,
      }));
  }

  /** The end of a connection is noticed unless the worker is disconnected. */
  #findOpen(): Connection | undefined {
    const connection = this.#connection;
    const hasEnded = connection?.processNumber !== this.#worker.processNumber;
    return hasEnded && !this.#worker.isDisconnected ? undefined : connection;
  }

  /** Opens a connection to the process that runs when the first bytes arrive. */
  async #open(): Promise<Connection> {
    await this.#clock.sleep(CALL_DURATION_MS);
    return this.#connection = {
      processNumber: this.#worker.processNumber,
      silenceCount: this.#worker.silenceCount,
      incarnationStartUnixMs: undefined,
    };
  }

  /** Resolves with the answer; never if there is none and the worker's process still runs. */
  async #carry<Outcome extends { readonly kind: string }>(
    connection: Connection,
    isWritten: boolean,
    carryOut: () => Outcome | Promise<Outcome>,
  ): Promise<Outcome | Unavailable> {
    const worker = this.#worker;
    const travelMs = worker.drawTravelMs() + (isWritten ? 0 : CALL_DURATION_MS);
    if (travelMs > 0) await this.#clock.sleep(travelMs);
    if (this.#isSilent(connection)) return await neverSettle();
    if (connection.processNumber !== worker.processNumber) {
      return await this.#fail(connection);
    }
    const outcome = await carryOut();
    if (outcome.kind === "unavailable") return await this.#fail(connection);
    const answerDelayMs = worker.drawAnswerDelayMs();
    if (answerDelayMs > 0) await this.#clock.sleep(answerDelayMs);
    if (this.#isSilent(connection)) return await neverSettle();
    if (isReport(outcome)) {
      connection.incarnationStartUnixMs =
        outcome.metadata.incarnationStartUnixMs;
    }
    return outcome;
  }

  /** Nothing passes over the connection any more, and neither end is told. */
  #isSilent({ silenceCount }: Connection): boolean {
    return silenceCount !== this.#worker.silenceCount;
  }

  /** The machine shows that the process has ended, unless it is disconnected. */
  async #fail({ processNumber }: Connection): Promise<Unavailable> {
    const worker = this.#worker;
    const hasEnded = worker.hasLeft || processNumber !== worker.processNumber;
    return hasEnded && !worker.isDisconnected
      ? CONNECTION_LOST
      : await neverSettle();
  }
}

function isReport(
  outcome: { readonly kind: string },
): outcome is Extract<RenewOutcome, { kind: "report" }> {
  return outcome.kind === "report";
}

function neverSettle(): Promise<never> {
  return new Promise(() => {});
}

/** Calls `workers`; long polls wait for an end and have connections of their own. */
export function createWorkerPortFake(
  workers: ReadonlyMap<WorkerName, WorkerFake>,
  clock: ManualClock,
): WorkerPort {
  const connections = new Map<string, WorkerConnectionsFake>();

  function getConnections(
    name: WorkerName,
    use: "commands" | "polls",
  ): WorkerConnectionsFake {
    const key = `${use} ${name}`;
    const known = connections.get(key);
    if (known !== undefined) return known;
    const created = WorkerConnectionsFake.create(workers.get(name)!, clock);
    connections.set(key, created);
    return created;
  }

  /** The report at once, or when a run ends within `longPollMs`. */
  async function poll(
    fake: WorkerFake,
    command: RenewCommand,
  ): Promise<RenewOutcome> {
    const process = fake.processNumber;
    let outcome = fake.renew(command);
    const deadlineMs = clock.nowMs() + command.longPollMs;
    while (
      outcome.kind === "report" && outcome.ended.length === 0 &&
      clock.nowMs() < deadlineMs
    ) {
      await clock.sleep(POLL_CHECK_PERIOD_MS);
      // The connection ends with the process.
      if (process !== fake.processNumber) return UNANSWERED;
      // The acknowledgement and the lease took effect when the call arrived.
      outcome = fake.renew({
        ...command,
        leaseUntilMs: undefined,
        acknowledgedSequence: 0,
      });
    }
    return outcome;
  }

  /** Undefined if the worker that the target names has the address. */
  async function callOther(
    target: WorkerTarget,
    { maySend }: { readonly maySend: () => boolean },
    timeoutMs: number,
  ): Promise<OtherAnswer | undefined> {
    const listener = findListener(workers, target);
    if (listener.kind === "named") return undefined;
    if (listener.kind === "unusable" || !maySend()) return NOT_SENT;
    const isSilent = listener.kind === "silent" ||
      listener.kind === "other" && listener.worker.isDisconnected;
    await clock.sleep(isSilent ? timeoutMs : CALL_DURATION_MS);
    switch (listener.kind) {
      case "silent":
        return UNANSWERED;
      case "closed":
        return CONNECTION_LOST;
      case "fencing":
        return { kind: "fenced" };
      case "other":
        return isSilent ? UNANSWERED : { kind: "wrong_life" };
    }
  }

  return {
    start: async (target, command, timeoutMs): Promise<StartOutcome> => {
      const other = await callOther(target, command, timeoutMs);
      if (other?.kind === "fenced") {
        return { kind: "refused", reason: "fenced" };
      }
      if (other !== undefined) return other;
      const { worker } = target;
      const fake = workers.get(worker)!;
      const outcome = await getConnections(worker, "commands").exchange({
        ...command,
        carryOut: () => fake.start(command),
      }, timeoutMs);
      if (outcome === NOT_SENT) return { kind: "refused", reason: "unhealthy" };
      if (outcome.kind !== "other") return outcome;
      return outcome.report.kind === "fenced"
        ? { kind: "refused", reason: "fenced" }
        : toUnsent(outcome.report);
    },
    stop: async (target, command, timeoutMs): Promise<StopOutcome> => {
      const other = await callOther(target, command, timeoutMs);
      if (other !== undefined) return other;
      const { worker } = target;
      const fake = workers.get(worker)!;
      const outcome = await getConnections(worker, "commands").exchange({
        ...command,
        carryOut: () => fake.stop(command),
      }, timeoutMs);
      if (outcome.kind !== "other") return outcome;
      return outcome.report.kind === "fenced"
        ? { kind: "fenced" }
        : toUnsent(outcome.report);
    },
    renew: async (target, command, timeoutMs): Promise<RenewOutcome> => {
      const other = await callOther(target, command, timeoutMs);
      if (other !== undefined) return other;
      const { worker } = target;
      const fake = workers.get(worker)!;
      const isForAny = command.leaseUntilMs === undefined &&
        command.acknowledgedSequence === 0;
      const use = command.longPollMs > 0 ? "polls" : "commands";
      const outcome = await getConnections(worker, use).exchange({
        ...command,
        ...(isForAny ? { incarnationStartUnixMs: undefined } : {}),
        carryOut: () => poll(fake, command),
      }, timeoutMs);
      return outcome.kind === "other" ? outcome.report : outcome;
    },
    forget: () => {},
  };
}

/** The outcome of a start or a stop that was not sent, as another incarnation answered. */
function toUnsent(
  report: RenewOutcome,
): { readonly kind: "restarted" | "wrong_life" } {
  return { kind: report.kind === "wrong_life" ? "wrong_life" : "restarted" };
}
