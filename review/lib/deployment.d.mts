/** Types of the parts of `deployment.mjs` that tests in TypeScript use. */

export interface Step {
  readonly count: number;
  readonly gang?: boolean;
  readonly cpu: number;
  readonly memMb: number;
  readonly gpu: number;
  readonly workMs: number;
}

export interface Queue {
  readonly name: string;
  readonly pathPrefix: string;
}

export interface Runner {
  readonly id: string;
  readonly isUp: boolean;
  readonly runningTasks: readonly { readonly task: string }[];
  onStarted?: (task: string, runId: number) => void;
}

export interface Store {
  put(table: string, key: string, value: unknown): number;
  putText(table: string, key: string, text: string): void;
  list(table: string): readonly { readonly key: string; readonly value: string }[];
}

export interface Front {
  readonly name: string;
  readonly pid: number;
  readonly endsByItself: number;
  isReady(): Promise<boolean>;
  signal(name: "SIGKILL" | "SIGTERM"): void;
}

export interface JobState {
  readonly state?: string;
  readonly status: number;
}

export class Record {
  constructor(file: string);
  readonly nowMs: number;
  write(what: string, fields?: object): void;
  close(): Promise<void>;
}

export class Deployment {
  constructor(record: Record);
  readonly store: Store;
  readonly fronts: readonly Front[];
  readonly runners: readonly Runner[];
  start(options: {
    readonly fronts: number;
    readonly runners: number;
    readonly network: string;
    readonly keepsConnections: boolean;
    readonly logFolder: string | undefined;
  }): Promise<boolean>;
  stop(): void;
  submit(queue: Queue, id: string, steps: readonly Step[], options: { readonly tries: number }): Promise<boolean>;
  getState(queue: Queue, id: string): Promise<JobState>;
  getStates(queue: Queue, id: string): Promise<readonly (JobState & { readonly machine: string })[]>;
}

export function jobId(number: number): string;
export function sleep(ms: number): Promise<void>;
export const SERVICE: string;
export const BOUNDS: { readonly contactMs: number; readonly visible_ms: number; readonly finish_s: number; readonly graceS: number };
export const QUEUES: { readonly ordinary: Queue };
