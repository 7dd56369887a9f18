/** Tests of a cell whose workers reject the starts of one queue, whatever room they have. */
import { expect } from "chai";
import type { CellJobSpec, QueueName } from "@coltsfootpond/policy";
import {
  REJECTION_REASONS,
  type RejectionReason,
} from "../fakes/start_rejections.ts";
import { RejectingCell } from "./rejecting_cell.ts";

const URGENT_PERIOD_MS = 735;
const URGENT_JOBS = 24;
/** Long enough for a round that starts, and stops, whatever it can. */
const ROUND_MS = 500;

/**
 * Work that may be evicted before the rejections are understood: for the three units of the first
 * job, three times over for the units of two jobs where the worker may be at fault, and once for a
 * trial on each of seven other workers. After that one each time that no trial has found room for
 * four of the longest delays.
 */
function countEvictionsAllowed(reason: RejectionReason): number {
  const isSpecific = reason === "no_ticket" || reason === "invalid";
  return (isSpecific ? 3 : 3 * 6) + 7 +
    Math.floor(URGENT_JOBS * URGENT_PERIOD_MS / (isSpecific ? 8_000 : 4_000));
}

/**
 * Starts of a gang of half of the workers for which others may be stopped in a minute: three until
 * the rejections are understood, one on the other workers, four as the evidence is outdated.
 */
const GANG_STARTS_ALLOWED = 8;

/** Submits urgent jobs of the rejected queue at a steady rate. */
async function submitUrgentJobs(
  cell: RejectingCell,
  step: Parameters<RejectingCell["submitRejected"]>[0],
): Promise<readonly CellJobSpec[]> {
  const jobs: CellJobSpec[] = [];
  for (let job = 0; job < URGENT_JOBS; job++) {
    jobs.push(await cell.submitRejected(step));
    await cell.simulation.clock.advance(URGENT_PERIOD_MS);
  }
  return jobs;
}

async function createCell(
  options: Parameters<typeof RejectingCell.create>[0],
): Promise<RejectingCell> {
  const cell = RejectingCell.create(options);
  cell.setTaskDuration(1_000);
  cell.startScheduler();
  await cell.simulation.clock.advance(ROUND_MS);
  return cell;
}

describe("a queue whose starts all workers reject", () => {
  for (const reason of REJECTION_REASONS) {
    // Guards against urgent jobs whose starts are rejected, over and over, on workers that are kept
    // from all other jobs meanwhile (review/8).
    it(`leaves the workers to other queues: ${reason}`, async () => {
      const cell = await createCell({ workers: 8, reason });
      await submitUrgentJobs(cell, { count: 3 });
      const ordinary = await cell.submitOrdinary({ count: 2 });
      await cell.simulation.clock.advance(3_000);
      expect(cell.isCompleted(ordinary)).to.equal(true);
    });

    // Guards against gangs that hold the workers of which one member after the other is rejected.
    it(`leaves the workers to other queues, with gangs: ${reason}`, async () => {
      const cell = await createCell({ workers: 8, reason });
      await submitUrgentJobs(cell, { count: 16, isGang: true });
      const ordinary = await cell.submitOrdinary({ count: 2 });
      await cell.simulation.clock.advance(3_000);
      expect(cell.isCompleted(ordinary)).to.equal(true);
    });

    // Guards against running tasks of other queues that are stopped for units that no worker starts,
    // again with each new job.
    it(`stops hardly any running work for them: ${reason}`, async () => {
      const cell = await createCell({ workers: 8, reason });
      cell.setTaskDuration(60_000);
      await cell.submitOrdinary({ count: 64 });
      await cell.simulation.clock.advance(ROUND_MS);
      await submitUrgentJobs(cell, { count: 3 });
      expect(cell.countStopped()).to.be.at.most(countEvictionsAllowed(reason));
    });

    // Guards against a full cell that is emptied again and again for a gang that no worker starts.
    it(`stops hardly any running work for a gang: ${reason}`, async () => {
      const cell = await createCell({ workers: 8, reason });
      // Their percentage rises every 2 s, so that they do not count as stalled.
      cell.setTaskDuration(200_000);
      await cell.submitOrdinary({ count: 64 });
      await cell.simulation.clock.advance(ROUND_MS);
      await cell.submitRejected({ count: 32, isGang: true });
      await cell.simulation.clock.advance(60_000);
      expect(cell.countStopped()).to.be.at.most(
        32 * GANG_STARTS_ALLOWED,
      );
    });

    // Guards against about a hundred rejected starts a second.
    it(`tries them at a low rate: ${reason}`, async () => {
      const cell = await createCell({ workers: 8, reason });
      await submitUrgentJobs(cell, { count: 3 });
      cell.rejections = 0;
      await cell.simulation.clock.advance(20_000);
      expect(cell.rejections).to.be.within(1, 40);
    });

    // Guards against jobs that stay withheld although their starts would be accepted.
    it(`starts all of them soon after workers accept them: ${reason}`, async () => {
      const cell = await createCell({ workers: 8, reason });
      const jobs = await submitUrgentJobs(cell, { count: 3 });
      cell.isRejecting = false;
      // The longest delay, and two tasks of 1 s on each accelerator.
      await cell.simulation.clock.advance(5_000);
      expect(jobs.filter((job) => !cell.isCompleted(job))).to.deep.equal([]);
    });
  }

  // Guards against room that is kept free for urgent jobs that cannot start.
  it("counts for no headroom", async () => {
    const cell = await createCell({ workers: 2, reason: "no_ticket" });
    await submitUrgentJobs(cell, { count: 3 });
    cell.setTaskDuration(60_000);
    const ordinary = await cell.submitOrdinary({ count: 16 });
    await cell.simulation.clock.advance(ROUND_MS);
    expect(cell.listStarted(ordinary)).to.have.length(16);
  });
});

describe("a queue whose starts some workers reject", () => {
  for (const reason of REJECTION_REASONS) {
    for (const accepting of [1, 4, 7]) {
      // Guards against units that do not reach the workers that accept them.
      it(`runs on the ${accepting} others of eight: ${reason}`, async () => {
        const cell = await createCell({
          workers: 8,
          reason,
          isRejecting: (worker) => worker >= accepting,
        });
        const job = await cell.submitRejected({ count: 3 });
        const ordinary = await cell.submitOrdinary({ count: 8 });
        await cell.simulation.clock.advance(5_000);
        expect([job, ordinary].filter((spec) => !cell.isCompleted(spec))).to
          .deep.equal([]);
      });
    }
  }

  // Guards against a gang of which one member is rejected again and again.
  it("runs a gang on the others", async () => {
    const cell = await createCell({
      workers: 8,
      reason: "no_ticket",
      isRejecting: (worker) => worker % 2 === 0,
    });
    const job = await cell.submitRejected({
      count: 4,
      isGang: true,
      need: { cpuMilli: 1_000, memoryMib: 1_000, accelerators: 8 },
    });
    await cell.simulation.clock.advance(5_000);
    expect(cell.isCompleted(job)).to.equal(true);
  });

  // Guards against a unit that never reaches a worker that accepts it, as all workers are busy.
  for (const reason of REJECTION_REASONS) {
    it(`evicts others on a full cell to get there: ${reason}`, async () => {
      const cell = await createCell({
        workers: 4,
        reason,
        isRejecting: (worker) => worker !== 2,
      });
      cell.setTaskDuration(60_000);
      await cell.submitOrdinary({ count: 32 });
      await cell.simulation.clock.advance(ROUND_MS);
      const job = await cell.submitRejected({ count: 3 });
      await cell.simulation.clock.advance(5_000);
      expect(new Set(cell.listStarted(job)).size).to.equal(3);
      expect(cell.countStopped()).to.be.at.most(12);
    });
  }
});

describe("the rejected starts of many queues", () => {
  // Guards against a rate of rejected starts that grows with the number of jobs and queues.
  it("are tried at a bounded rate, and leave the workers to the others", async () => {
    const cell = await createCell({ workers: 16, reason: "no_ticket" });
    for (let job = 0; job < 600; job++) {
      const queue = `rejected ${job % 200}` as QueueName;
      await cell.submitRejected({ count: 2 }, { queue });
      if (job % 20 === 0) await cell.simulation.clock.advance(100);
    }
    await cell.simulation.clock.advance(3_000);
    cell.rejections = 0;
    const ordinary = await cell.submitOrdinary({ count: 64 });
    await cell.simulation.clock.advance(4_000);
    expect(cell.isCompleted(ordinary)).to.equal(true);
    // One each 20 ms, however many circuits are open.
    expect(cell.rejections).to.be.at.most(4_000 / 20);
  });
});

describe("rejected starts", () => {
  // Guards against jobs that wait although their queue has been declared anew.
  it("are tried again once the queue is declared otherwise", async () => {
    const cell = await createCell({ workers: 2, reason: "no_ticket" });
    cell.declareRejectedQueue({ requiresTicket: true });
    const job = await cell.submitRejected({ count: 2 });
    await cell.simulation.clock.advance(30_000);
    cell.isRejecting = false;
    cell.declareRejectedQueue({ requiresTicket: false });
    await cell.simulation.clock.advance(100);
    expect(cell.listStarted(job)).to.have.length(2);
    expect(cell.linesOf("start_circuit.forgotten")).to.have.length(2);
  });

  // Guards against what was learnt being lost with each version of the declared state.
  it("are not tried again once other queues are declared otherwise", async () => {
    const cell = await createCell({ workers: 2, reason: "no_ticket" });
    cell.declareRejectedQueue({ requiresTicket: true });
    await cell.submitRejected({ count: 2 });
    await cell.simulation.clock.advance(30_000);
    cell.rejections = 0;
    for (let version = 0; version < 20; version++) {
      cell.declareRejectedQueue({ requiresTicket: true });
      await cell.simulation.clock.advance(20);
    }
    expect(cell.rejections).to.be.at.most(1);
  });

  // Guards against a worker that is avoided for what an earlier process of it rejected.
  it("are tried again by the next process of the worker", async () => {
    const cell = await createCell({ workers: 1, reason: "no_ticket" });
    const job = await cell.submitRejected({ count: 2 });
    await cell.simulation.clock.advance(1_000);
    cell.isRejecting = false;
    cell.simulation.get("w0").restart();
    await cell.simulation.clock.advance(1_500);
    expect(cell.listStarted(job)).to.have.length(2);
  });

  // Guards against a new lease holder that stops all running work once more.
  it("are learnt by a new lease holder from its first starts", async () => {
    const cell = await createCell({ workers: 8, reason: "no_ticket" });
    cell.setTaskDuration(60_000);
    await cell.submitOrdinary({ count: 64 });
    await cell.simulation.clock.advance(ROUND_MS);
    await submitUrgentJobs(cell, { count: 3 });
    const stopped = cell.countStopped();
    cell.startNextScheduler();
    await cell.simulation.clock.advance(5_000);
    expect(cell.countStopped() - stopped).to.be.at.most(
      URGENT_JOBS + countEvictionsAllowed("no_ticket"),
    );
  });

  // Guards against a log in which nothing tells why a job waits, or a line for each rejection.
  it("are logged once for each change, and for each job that waits", async () => {
    const cell = await createCell({ workers: 8, reason: "no_ticket" });
    const jobs = await submitUrgentJobs(cell, { count: 3 });
    const opened = cell.linesOf("start_circuit.opened");
    expect(opened.map(({ step }) => step)).to.deep.equal([
      `${jobs[0]!.jobId}.0`,
      undefined,
    ]);
    expect(opened[1]).to.deep.include({
      queue: "rejected",
      reasons: { no_ticket: 1 },
      workerCount: 1,
    });
    expect(cell.linesOf("task.start_refused").length).to.be.at.most(3);
    const waiting = cell.linesOf("job.starts_withheld");
    expect(waiting.map(({ job }) => job)).to.have.members(
      jobs.map(({ jobId }) => jobId),
    );
    cell.isRejecting = false;
    await cell.simulation.clock.advance(16_000);
    const closed = cell.linesOf("start_circuit.closed").filter(({ step }) =>
      step === undefined
    );
    expect(closed).to.have.length(1);
    expect(closed[0]!.rejections).to.equal(cell.rejections);
  });

  // Guards against one malformed job that keeps the other jobs of its queue from their starts.
  it("of one job limit no other job of a queue that has started some", async () => {
    const cell = await createCell({ workers: 2, reason: "invalid" });
    cell.isRejecting = false;
    const first = await cell.submitRejected({});
    await cell.simulation.clock.advance(2_000);
    cell.isRejecting = true;
    const malformed = await cell.submitRejected({ count: 3 });
    cell.rejectOnly(malformed);
    await cell.simulation.clock.advance(1_000);
    const others = [
      await cell.submitRejected({ count: 4 }),
      await cell.submitRejected({ count: 4 }),
    ];
    await cell.simulation.clock.advance(1_500);
    expect([first, ...others].filter((job) => !cell.isCompleted(job))).to.deep
      .equal([]);
    await cell.simulation.clock.advance(15_000);
    cell.rejections = 0;
    await cell.simulation.clock.advance(20_000);
    expect(cell.rejections).to.be.within(1, 10);
  });
});

describe("a worker that alone may run a task", () => {
  for (const reason of REJECTION_REASONS) {
    // Guards against a task that waits for other workers although none may run it.
    it(`gets it again soon after it has rejected it: ${reason}`, async () => {
      const cell = await createCell({ workers: 4, reason });
      const job = await cell.submitRejected({
        isPersistent: true,
        requiredLabel: "w2",
      });
      await cell.simulation.clock.advance(4_000);
      cell.isRejecting = false;
      // A task that could start must not wait for 3 s (the platform's rules).
      await cell.simulation.clock.advance(3_000);
      expect(cell.listStarted(job).length).to.be.at.least(1);
    });
  }
});

describe("a recurring job whose starts are rejected", () => {
  // Guards against occurrences each of which learns anew that its starts are rejected.
  it("is tried at a low rate, and starts all occurrences once it is accepted", async () => {
    const cell = await createCell({ workers: 4, reason: "no_ticket" });
    const job = await cell.submitRejected({}, {
      recurrence: {
        times: 20,
        firstRunUnixMs: cell.simulation.clock.nowMs() + 1_000,
        intervalMs: 500,
      },
    });
    await cell.simulation.clock.advance(12_000);
    expect(cell.rejections).to.be.at.most(24);
    cell.isRejecting = false;
    await cell.simulation.clock.advance(3_000);
    expect(cell.listStarted(job)).to.have.length(20);
  });
});

describe("a worker that rejects the starts of all queues", () => {
  // Guards against a faulty worker, which always has room, that gets one start after the other.
  it("is paused after each rejection while others accept starts", async () => {
    const cell = await createCell({ workers: 4, reason: "unhealthy" });
    cell.isRejecting = false;
    cell.simulation.get("w0").findRejection = () => {
      cell.rejections++;
      return "unhealthy";
    };
    const jobs: CellJobSpec[] = [];
    for (let job = 0; job < 20; job++) {
      jobs.push(await cell.submitOrdinary({ count: 2 }));
      await cell.simulation.clock.advance(200);
    }
    await cell.simulation.clock.advance(3_000);
    expect(jobs.filter((job) => !cell.isCompleted(job))).to.deep.equal([]);
    expect(cell.linesOf("start_circuit.opened")).to.deep.equal([]);
    // Two starts are sent together; the pause lasts for two of the jobs.
    expect(cell.rejections).to.be.at.most(20);
  });
});
