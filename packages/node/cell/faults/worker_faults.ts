/** Faults of single workers, each of which the platform's protocol allows. */
import { nextInteger, type Random } from "@coltsfootpond/common";
import type { CellSimulation } from "../cell_simulation.ts";
import type { WorkerFake } from "../workers_fake.ts";

type WorkerFault = (worker: WorkerFake, cell: WorkerFaultContext) => void;

interface WorkerFaultContext {
  readonly simulation: CellSimulation;
  readonly random: Random;
}

const SLOWEST_CLOCK_RATE = 0.98;
/** Answers may come after the time-outs of starts (250 ms) and of other calls (500 ms). */
const MAXIMUM_ANSWER_DELAY_MS = 600;
/** Upper bound of the time by which a call is carried out late. */
const MAXIMUM_CALL_DELAY_MS = 4_000;
const MINIMUM_CALL_DELAY_MS = 200;
/** Share of the calls on a slow path that travel for seconds. */
const SLOW_TRAVEL_SHARE = 0.1;
const MAXIMUM_FURTHER_RESTARTS = 3;
const RESTART_SERIES_MS = 1_500;
const MINIMUM_REMOVAL_DELAY_MS = 400;
const REMOVAL_DELAY_RANGE_MS = 1_600;

function drawCallDelayMs(random: Random): number {
  return MINIMUM_CALL_DELAY_MS + nextInteger(random, MAXIMUM_CALL_DELAY_MS);
}

/** Most calls travel for no longer than the callers' time-outs, some for seconds. */
function drawTravelMs(random: Random): number {
  return random.next() < SLOW_TRAVEL_SHARE
    ? drawCallDelayMs(random)
    : nextInteger(random, MAXIMUM_ANSWER_DELAY_MS);
}

/** Another worker takes the place of one that has left. */
function replace(worker: WorkerFake, { simulation }: WorkerFaultContext): void {
  if (worker.isReplaced) return;
  worker.leave(false);
  worker.isReplaced = true;
  const name = `${worker.record.worker}+`;
  simulation.addWorker(name, worker.record.address);
}

/** Starts the process again, if another worker has not taken its place. */
function restart(worker: WorkerFake): void {
  if (!worker.isReplaced) worker.restart();
}

/** The machine's time of day was set back, so that the new process seems to be an earlier one. */
function restartInThePast(
  worker: WorkerFake,
  { simulation, random }: WorkerFaultContext,
): void {
  const startUnixMs = 1 + nextInteger(random, simulation.clock.nowMs() + 1);
  if (!worker.isReplaced) worker.restart(startUnixMs);
}

/** The clock starts anew, but with the value that the earlier process's clock shows. */
function restartOnEqualClock(worker: WorkerFake): void {
  if (!worker.isReplaced) worker.restart(undefined, worker.workerClockMs);
}

/** Restarts of which most are over before a report or the record can show them. */
function restartRepeatedly(
  worker: WorkerFake,
  { simulation, random }: WorkerFaultContext,
): void {
  restart(worker);
  const restarts = 1 + nextInteger(random, MAXIMUM_FURTHER_RESTARTS);
  for (let number = 0; number < restarts; number++) {
    const delayMs = nextInteger(random, RESTART_SERIES_MS);
    simulation.clock.after(delayMs, () => restart(worker));
  }
}

/** The record shows the restart only once the worker reaches the store again. */
function restartCutFromStore(worker: WorkerFake): void {
  if (worker.isReplaced) return;
  worker.isCutFromStore = true;
  worker.restart();
}

/**
 * Removes the record some time after a restart, as the silence or the planned stop of the earlier
 * incarnation is applied late. The next heartbeat writes it again.
 */
function restartAndLoseRecord(
  worker: WorkerFake,
  { simulation, random }: WorkerFaultContext,
): void {
  restart(worker);
  const delayMs = MINIMUM_REMOVAL_DELAY_MS +
    nextInteger(random, REMOVAL_DELAY_RANGE_MS);
  simulation.clock.after(delayMs, () => worker.removeRecord());
}

function leave(worker: WorkerFake, { random }: WorkerFaultContext): void {
  if (!worker.isReplaced) worker.leave(random.next() < 0.5);
}

/** A planned end, which removes the record, and a start without access to the store. */
function leaveAndReturnCutFromStore(worker: WorkerFake): void {
  if (worker.isReplaced) return;
  worker.leave(true);
  restartCutFromStore(worker);
}

const WORKER_FAULTS: readonly WorkerFault[] = [
  (worker) => (worker.isDisconnected = true),
  (worker) => (worker.isDisconnected = false),
  (worker, { random }) => (worker.startDelayMs = drawCallDelayMs(random)),
  (worker) => (worker.startDelayMs = undefined),
  (worker, { random }) => (worker.renewalDelayMs = drawCallDelayMs(random)),
  (worker) => (worker.renewalDelayMs = undefined),
  (worker, { random }) => (worker.stopDelayMs = drawCallDelayMs(random)),
  (worker) => (worker.stopDelayMs = undefined),
  (worker, { random }) => (worker.drawTravelMs = () => drawTravelMs(random)),
  (worker) => (worker.drawTravelMs = () => 0),
  (worker) => (worker.losesAnswers = true),
  (worker) => (worker.losesAnswers = false),
  (worker) => (worker.isCutFromStore = true),
  (worker) => (worker.isCutFromStore = false),
  (worker) => (worker.isRecordUnreadable = true),
  (worker) => (worker.isRecordUnreadable = false),
  (worker, { random }) => {
    const maximumMs = nextInteger(random, MAXIMUM_ANSWER_DELAY_MS);
    worker.drawAnswerDelayMs = () => nextInteger(random, maximumMs + 1);
  },
  (worker) => (worker.drawAnswerDelayMs = () => 0),
  restart,
  restart,
  restart,
  restart,
  restartInThePast,
  restartInThePast,
  restartOnEqualClock,
  restartRepeatedly,
  restartCutFromStore,
  restartAndLoseRecord,
  restartAndLoseRecord,
  leave,
  leaveAndReturnCutFromStore,
  replace,
];

/** Draws the worker's clock, whose rate stays. */
export function drawClockRate(worker: WorkerFake, random: Random): void {
  worker.clockRate = random.next() < 0.5 ? 1 : SLOWEST_CLOCK_RATE;
}

/** Begins or ends a fault of the worker, or ends or restarts its process. */
export function injectWorkerFault(
  worker: WorkerFake,
  context: WorkerFaultContext,
): void {
  const number = nextInteger(context.random, WORKER_FAULTS.length);
  WORKER_FAULTS[number]!(worker, context);
}

/** Ends all faults of the worker; a process that has left starts unless it was replaced. */
export function endWorkerFaults(worker: WorkerFake): void {
  worker.isDisconnected = false;
  worker.losesAnswers = false;
  worker.isCutFromStore = false;
  worker.isRecordUnreadable = false;
  worker.startDelayMs = undefined;
  worker.renewalDelayMs = undefined;
  worker.stopDelayMs = undefined;
  worker.drawTravelMs = () => 0;
  worker.drawAnswerDelayMs = () => 0;
  if (worker.hasLeft) restart(worker);
}
