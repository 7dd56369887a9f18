/**
 * Queue of waiting jobs, in classes of interchangeable jobs. A decision round tries only the head
 * of each class, so its cost depends on the number of classes and not on the number of waiting
 * jobs.
 */
import type { OrganisationName } from "@coltsfootpond/common";
import { WAIT_REASON, type WaitReason } from "../types.ts";
import { createClassKey, JOB_PHASE, type JobRecord } from "./job_record.ts";

/** Interchangeable waiting jobs, longest waiting time first. */
export interface JobClass {
  readonly key: string;
  jobs: JobRecord[];
  /** Index of the first job that has not been removed. */
  start: number;
  /** Version of the placement state at which there was no place for the head. */
  blockedVersion: number;
  /** Why the head was not placed. */
  reason: WaitReason;
}

/** Least number of removed jobs for which the array of a class is shortened. */
const TRIM_MINIMUM = 32;

/** Waiting jobs of one failure domain, by class. */
export class JobQueue {
  readonly #classes = new Map<string, JobClass>();
  readonly #perOrganisation = new Map<OrganisationName, number>();
  #size = 0;
  #accelerators = 0;

  private constructor() {}

  static create(): JobQueue {
    return new JobQueue();
  }

  get size(): number {
    return this.#size;
  }

  /** Accelerators that all waiting jobs need together. */
  get accelerators(): number {
    return this.#accelerators;
  }

  get classes(): Iterable<JobClass> {
    return this.#classes.values();
  }

  countJobsOf(organisation: OrganisationName): number {
    return this.#perOrganisation.get(organisation) ?? 0;
  }

  /** The class of the job, if it has waiting jobs. */
  get(record: JobRecord): JobClass | undefined {
    return this.#classes.get(record.classKey);
  }

  add(record: JobRecord): void {
    const key = createClassKey(record);
    record.classKey = key;
    let jobClass = this.#classes.get(key);
    if (jobClass === undefined) {
      jobClass = {
        key,
        jobs: [],
        start: 0,
        blockedVersion: -1,
        reason: WAIT_REASON.NOT_LOOKED_AT,
      };
      this.#classes.set(key, jobClass);
    }
    insertByWait(jobClass, record);
    this.#count(record, 1);
  }

  /** Removes a job in constant time: marks it, so that `peek` skips it. */
  drop(record: JobRecord): void {
    record.phase = JOB_PHASE.GONE;
    this.#count(record, -1);
  }

  /** Removes the head of a class, which was placed or has claimed a place. */
  shift(jobClass: JobClass): void {
    const record = this.peek(jobClass);
    if (record === undefined) return;
    jobClass.start++;
    this.#count(record, -1);
    trimRemoved(jobClass);
  }

  /** The job of the class that has waited longest; an empty class is deleted. */
  peek(jobClass: JobClass): JobRecord | undefined {
    while (jobClass.start < jobClass.jobs.length) {
      const record = jobClass.jobs[jobClass.start]!;
      if (record.phase === JOB_PHASE.WAITING) return record;
      jobClass.start++;
    }
    this.#classes.delete(jobClass.key);
    return undefined;
  }

  #count(record: JobRecord, sign: 1 | -1): void {
    const { organisation } = record.job;
    this.#size += sign;
    this.#accelerators += sign * record.demand.accelerators;
    const count = this.countJobsOf(organisation) + sign;
    if (count === 0) this.#perOrganisation.delete(organisation);
    else this.#perOrganisation.set(organisation, count);
  }
}

/** Inserts by binary search, since a queued-again job keeps its waiting time. */
function insertByWait(jobClass: JobClass, record: JobRecord): void {
  const { jobs } = jobClass;
  let low = jobClass.start;
  let high = jobs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (jobs[middle]!.waitingSinceMs <= record.waitingSinceMs) low = middle + 1;
    else high = middle;
  }
  if (low === jobs.length) jobs.push(record);
  else jobs.splice(low, 0, record);
}

function trimRemoved(jobClass: JobClass): void {
  const { start, jobs } = jobClass;
  if (start < TRIM_MINIMUM || start * 2 < jobs.length) return;
  jobClass.jobs = jobs.slice(start);
  jobClass.start = 0;
}
