/**
 * A simulated cell in which random faults of workers, lease holders and the store come in
 * combination while jobs run. The faults then end, and the cell gets time to complete the jobs.
 */
import { nextInteger, SeededRandom } from "@coltsfootpond/common";
import type {
  CellJobSpec,
  CellResources,
  TaskName,
} from "@coltsfootpond/policy";
import type { CellScheduler } from "../cell_scheduler.ts";
import { CellSimulation, SIMULATION_BOUNDS } from "../cell_simulation.ts";
import type { RunHistory, WorkerFake } from "../workers_fake.ts";
import { BegunList } from "./begun_list.ts";
import { LeaseHolder } from "./lease_holder.ts";
import { breakCalls } from "./breaking_calls.ts";
import { CapacityFaults } from "./capacity_faults.ts";
import { OddRecordFaults } from "./odd_record_faults.ts";
import { QuotaFaults } from "./quota_faults.ts";
import { addCrashingTasks, CRASH_DELAY_MS } from "../fakes/crashing_tasks.ts";
import { GangMembers } from "./gang_members.ts";
import {
  createCrashingJob,
  createRandomJob,
  createUrgentJob,
  type RandomJob,
} from "./random_jobs.ts";
import { SilentConnectionFaults } from "./silent_connection_faults.ts";
import { StartRejectionFaults } from "./start_rejection_faults.ts";
import { type StoreFault, StoreFaults } from "./store_faults.ts";
import {
  drawClockRate,
  endWorkerFaults,
  injectWorkerFault,
} from "./worker_faults.ts";

/** Number of the job with crashing tasks; beyond those of all other jobs. */
const CRASHING_JOB = 0xcccc;
const CRASHING_SHARE = 0.4;
/** Keeps the draws for this job apart, so that a seed's other faults stay as they are. */
const CRASHING_SEED_OFFSET = 1_000_000_007;
const MAXIMUM_SUBMIT_MS = 8_000;
/** Share of the sequences in which capacities change, and their draws. */
const CAPACITY_SHARE = 0.5;
const CAPACITY_SEED_OFFSET = 2_000_000_011;
/** Share of the sequences in which organisations have quotas that change, and their draws. */
const QUOTA_SHARE = 0.5;
const QUOTA_SEED_OFFSET = 3_000_000_019;
/** Share of the sequences in which another writer puts odd records, and their draws. */
const ODD_RECORD_SHARE = 0.5;
const ODD_RECORD_SEED_OFFSET = 4_000_000_007;
/** The draws of calls that throw. */
const BREAKING_SEED_OFFSET = 5_000_000_029;
/** Share of the sequences in which open connections go silent, and their draws. */
const SILENCE_SHARE = 0.5;
const SILENCE_SEED_OFFSET = 6_000_000_011;
/** Share of the sequences in which workers reject the starts of some job, and their draws. */
const REJECTION_SHARE = 0.5;
const REJECTION_SEED_OFFSET = 7_000_000_003;
/** Time after the last other fault until all starts are accepted. */
const REJECTION_END_MS = 12_000;
/** Time after the last fault until the quotas are lifted. */
const QUOTA_END_MS = 12_000;
/** Time after the last fault until starts are checked, and until capacities stay. */
const CAPACITY_CHECK_MS = 8_000;
const CAPACITY_END_MS = 18_000;
/** Time after the last fault until tasks fail no more, so that no job runs out of time by chance. */
const FAILURE_END_MS = 28_000;
const WORKERS = ["a", "b", "c", "d"] as const;
const JOBS = 5;
const FAULTY_STEPS = 24;
const STEP_MS = 500;
/** Enough for every lease to expire and all work to finish once the faults are over. */
const RECOVERY_MS = 45_000;
/**
 * Further time for the job that crashes workers, while it has not ended: five crashes of up to 5 s
 * each until they are counted, after other jobs have taken all workers.
 */
const CRASHES_MS = 25_000;
const MAXIMUM_FAULTS_PER_STEP = 3;
/** Time until an entry acquires the lease that another has given up. */
const ACQUISITION_MS = 300;
/** Share of the faults that are faults of a worker. */
const WORKER_FAULT_SHARE = 0.65;
const MAXIMUM_DIRECTORY_DELAY_MS = 800;
const STORE_FAULTS: readonly StoreFault[] = [
  "none",
  "refuses",
  "loses",
  "delays",
];

export interface FaultyCellOptions {
  /**
   * Late calls are carried out by the next process under the same name, which nothing that an entry
   * sends can rule out (docs/incidents/0005).
   */
  readonly hasCallsCarriedOver?: boolean;
  /** False for the sequences without odd records; their other faults stay as they are. */
  readonly hasOddRecords?: boolean;
  /** Calls to workers throw or reject until the faults end, carried out or not. */
  readonly hasBreakingCalls?: boolean;
}

export class FaultyCell {
  readonly simulation = CellSimulation.create(WORKERS);
  #jobs: RandomJob[];
  /** The job whose tasks crash their workers; undefined in most sequences. */
  readonly crashingJob: CellJobSpec | undefined;
  readonly #capacityFaults: CapacityFaults | undefined;
  readonly #quotaFaults: QuotaFaults | undefined;
  readonly #oddRecordFaults: OddRecordFaults | undefined;
  readonly #silenceFaults: SilentConnectionFaults | undefined;
  readonly #rejectionFaults: StartRejectionFaults | undefined;
  readonly #random: SeededRandom;
  readonly #storeFaults: StoreFaults;
  readonly #begunList = BegunList.create(this.simulation);
  #scheduler: CellScheduler | undefined;
  #holder: LeaseHolder | undefined;
  #isRecovering = false;
  #mayTasksFail = true;

  private constructor(seed: number, options: FaultyCellOptions) {
    const random = SeededRandom.create(seed);
    this.#random = random;
    this.#jobs = Array.from(
      { length: JOBS },
      (_, number) => createRandomJob(random, number),
    );
    this.#storeFaults = StoreFaults.create(this.simulation, random);
    this.simulation.workers.forEach((worker) => {
      drawClockRate(worker, random);
      worker.drawStopDurationMs = () =>
        nextInteger(random, SIMULATION_BOUNDS.stopLimitMs + 1);
      worker.carriesCallsOver = options.hasCallsCarriedOver ?? false;
    });
    GangMembers.create(
      this.simulation,
      random,
      () => [...this.jobs, ...this.crashingJob ? [this.crashingJob] : []],
    );
    this.crashingJob = this.#addCrashingJob(
      SeededRandom.create(seed + CRASHING_SEED_OFFSET),
    );
    if (options.hasBreakingCalls) {
      const { clock } = this.simulation;
      const breakingRandom = SeededRandom.create(seed + BREAKING_SEED_OFFSET);
      const untilMs = FAULTY_STEPS * STEP_MS;
      this.simulation.wrapWorkerPort = (port) =>
        breakCalls(port, { clock, random: breakingRandom, untilMs });
    }
    const capacityRandom = SeededRandom.create(seed + CAPACITY_SEED_OFFSET);
    if (capacityRandom.next() < CAPACITY_SHARE) {
      this.#capacityFaults = CapacityFaults.create({
        simulation: this.simulation,
        random: capacityRandom,
        getNeed: (task) => this.#getNeed(task),
      });
    }
    const quotaRandom = SeededRandom.create(seed + QUOTA_SEED_OFFSET);
    if (quotaRandom.next() < QUOTA_SHARE) {
      this.#quotaFaults = QuotaFaults.create({
        simulation: this.simulation,
        random: quotaRandom,
        findJob: (task) =>
          this.jobs.find(({ jobId }) => task.startsWith(`${jobId}.`)),
      });
      this.#jobs = this.#jobs.map((job) => this.#assign(job));
    }
    const silenceRandom = SeededRandom.create(seed + SILENCE_SEED_OFFSET);
    if (silenceRandom.next() < SILENCE_SHARE) {
      this.#silenceFaults = SilentConnectionFaults.create({
        simulation: this.simulation,
        random: silenceRandom,
      });
    }
    const rejectionRandom = SeededRandom.create(seed + REJECTION_SEED_OFFSET);
    if (rejectionRandom.next() < REJECTION_SHARE) {
      this.#rejectionFaults = StartRejectionFaults.create({
        simulation: this.simulation,
        random: rejectionRandom,
        listJobs: () => this.jobs,
      });
    }
    const oddRecordRandom = SeededRandom.create(seed + ODD_RECORD_SEED_OFFSET);
    const { hasOddRecords = true } = options;
    if (hasOddRecords && oddRecordRandom.next() < ODD_RECORD_SHARE) {
      this.#oddRecordFaults = OddRecordFaults.create({
        simulation: this.simulation,
        random: oddRecordRandom,
      });
    }
  }

  #addCrashingJob(random: SeededRandom): CellJobSpec | undefined {
    if (random.next() >= CRASHING_SHARE) return undefined;
    const { spec } = createCrashingJob(random, CRASHING_JOB);
    addCrashingTasks(this.simulation, {
      isCrashing: (task) => task.startsWith(`${spec.jobId}.`),
      drawReturn: () => random.next() < 0.5 ? "same_name" : "other_name",
      drawDelayMs: () => nextInteger(random, 2 * CRASH_DELAY_MS),
    });
    this.simulation.clock.after(
      nextInteger(random, MAXIMUM_SUBMIT_MS),
      () => void this.#submit(spec),
    );
    return spec;
  }

  static create(seed: number, options: FaultyCellOptions = {}): FaultyCell {
    return new FaultyCell(seed, options);
  }

  get jobs(): readonly CellJobSpec[] {
    return this.#jobs.map(({ spec }) => spec);
  }

  /** Starts that brought a worker over its capacity although no other fault was near. */
  get capacityViolations(): readonly string[] {
    return this.#capacityFaults?.violations ?? [];
  }

  /** Starts over the quota of an organisation. */
  get quotaViolations(): readonly string[] {
    return this.#quotaFaults?.violations ?? [];
  }

  /** Number of starts that workers have rejected, or not answered, as one of a job. */
  get rejectedStarts(): number {
    return this.#rejectionFaults?.rejections ?? 0;
  }

  /** Jobs that were listed as begun too early, or not any more. */
  get begunListViolations(): readonly string[] {
    return this.#begunList.violations;
  }

  /** The job as one of an organisation, if there are quotas. */
  #assign({ spec, ...job }: RandomJob): RandomJob {
    return { ...job, spec: this.#quotaFaults?.assign(spec) ?? spec };
  }

  #getNeed(task: TaskName): CellResources {
    const [jobId, , step] = task.split(".");
    const jobs = [...this.jobs, ...this.crashingJob ? [this.crashingJob] : []];
    return jobs.find((job) => job.jobId === jobId)!.steps[Number(step)]!.need;
  }

  async run(): Promise<void> {
    this.#replaceScheduler();
    for (let step = 0; step < FAULTY_STEPS; step++) {
      if (step < JOBS) await this.#submit(this.#jobs[step]!.spec);
      const faults = 1 + nextInteger(this.#random, MAXIMUM_FAULTS_PER_STEP);
      for (let fault = 0; fault < faults; fault++) await this.#injectFault();
      this.#endTasks();
      await this.simulation.clock.advance(STEP_MS);
      this.#begunList.check();
    }
    await this.#recover();
  }

  async #submit(spec: CellJobSpec): Promise<void> {
    const submit = () => this.simulation.submit(spec);
    const silenceFaults = this.#silenceFaults;
    await this.#storeFaults.suspend(() =>
      silenceFaults?.suspend(submit) ?? submit()
    );
  }

  async #recover(): Promise<void> {
    const { simulation } = this;
    this.#isRecovering = true;
    this.#storeFaults.current = "none";
    simulation.isDirectoryUnavailable = false;
    simulation.directoryDelayMs = 0;
    simulation.workers.forEach(endWorkerFaults);
    this.#oddRecordFaults?.end();
    this.#silenceFaults?.end();
    this.#replaceScheduler();
    for (
      let passedMs = 0;
      passedMs < RECOVERY_MS ||
      this.#isCrashingJobLive() && passedMs < RECOVERY_MS + CRASHES_MS;
      passedMs += STEP_MS
    ) {
      if (passedMs === CAPACITY_CHECK_MS) this.#capacityFaults?.beginChecks();
      if (passedMs === QUOTA_END_MS) this.#quotaFaults?.end();
      if (passedMs === REJECTION_END_MS) this.#rejectionFaults?.end();
      if (passedMs === CAPACITY_END_MS) this.#capacityFaults?.end();
      if (passedMs === FAILURE_END_MS) this.#mayTasksFail = false;
      this.#endTasks();
      await simulation.clock.advance(STEP_MS);
      this.#begunList.check();
    }
  }

  #isCrashingJobLive(): boolean {
    const { crashingJob, simulation } = this;
    return crashingJob !== undefined &&
      simulation.readJob(crashingJob)?.kind === "live";
  }

  /** Starts a new lease holder. The previous one stops or runs on without the right to act. */
  #replaceScheduler(): void {
    this.#holder?.release();
    if (this.#random.next() < 0.5 && this.#scheduler !== undefined) {
      this.simulation.stopScheduler(this.#scheduler);
    }
    this.#startScheduler();
  }

  #startScheduler(): void {
    const holder = LeaseHolder.create(this.simulation.clock, this.#random);
    this.#holder = holder;
    this.#scheduler = this.simulation.startScheduler(
      () => holder.canAct(),
      () => this.#replaceStopped(holder),
      holder.vm,
    );
  }

  /** A holder that has found signs of a newer one gives up the lease, and another acquires it. */
  #replaceStopped(holder: LeaseHolder): void {
    holder.release();
    if (this.#holder !== holder) return;
    this.simulation.clock.after(ACQUISITION_MS, () => {
      if (this.#holder === holder) this.#replaceScheduler();
    });
  }

  /** The holder's process stands still; another VM acquires the lease when it has lapsed. */
  #freezeHolder(): void {
    const holder = this.#holder;
    holder?.freeze(() => {
      if (this.#holder === holder) this.#startScheduler();
    });
  }

  async #injectFault(): Promise<void> {
    const { simulation } = this;
    const random = this.#random;
    if (random.next() < WORKER_FAULT_SHARE) {
      injectWorkerFault(this.#pickWorker(), { simulation, random });
      return;
    }
    const choice = nextInteger(random, 11);
    if (choice <= 3) {
      this.#storeFaults.current = STORE_FAULTS[choice]!;
    } else if (choice === 4) {
      this.#replaceScheduler();
    } else if (choice === 5) {
      this.#replaceSchedulerPartlyReported();
    } else if (choice === 6) {
      await this.#submitUrgent();
    } else if (choice === 7) {
      simulation.isDirectoryUnavailable = random.next() < 0.5;
    } else if (choice >= 9) {
      this.#freezeHolder();
    } else {
      simulation.directoryDelayMs = nextInteger(
        random,
        MAXIMUM_DIRECTORY_DELAY_MS,
      );
    }
  }

  /** The new holder reaches only some of the workers on which tasks run. */
  #replaceSchedulerPartlyReported(): void {
    for (const worker of this.simulation.workers.values()) {
      worker.isDisconnected = this.#random.next() < 0.5;
    }
    this.#replaceScheduler();
  }

  async #submitUrgent(): Promise<void> {
    const nowUnixMs = this.simulation.clock.nowMs();
    const job = this.#assign(
      createUrgentJob(this.#random, this.#jobs.length, nowUnixMs),
    );
    this.#jobs.push(job);
    await this.#submit(job.spec);
  }

  #pickWorker(): WorkerFake {
    const workers = [...this.simulation.workers.values()];
    return workers[nextInteger(this.#random, workers.length)]!;
  }

  /** Ends some tasks. A gang ends as a whole, and only when all tasks of its run are there. */
  #endTasks(): void {
    for (const { spec, isEndless } of this.#jobs) {
      if (isEndless && !this.#isRecovering) continue;
      for (const [number, step] of spec.steps.entries()) {
        const prefix = `${spec.jobId}.0.${number}.`;
        const running = this.simulation.history.filter(({ task, endedMs }) =>
          endedMs === undefined && task.startsWith(prefix)
        );
        const runs = new Set(running.map(({ run }) => run));
        const isWhole = !step.isGang ||
          runs.size === 1 && running.length === step.count;
        if (!isWhole || this.#random.next() < 0.7) continue;
        this.#end(running, step.isGang);
      }
    }
  }

  /** A task of a gang that fails ends alone; the others end `broken` later. */
  #end(running: readonly RunHistory[], isGang: boolean): void {
    const isFailing = this.#random.next() >= 0.8 && this.#mayTasksFail;
    const end = isFailing ? "failed" : "done";
    const ending = isGang && end === "failed" ? running.slice(0, 1) : running;
    for (const { worker, task } of ending) {
      this.simulation.get(worker).end(task, end);
    }
  }
}
