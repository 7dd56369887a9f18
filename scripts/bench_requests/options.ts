/** Deployment shapes of the bench of calls, and the messages between its processes. */
import type { BalancingPolicy } from "@coltsfootpond/node";
import type { ValueOf } from "@coltsfootpond/common";

export const DEPLOYMENT = {
  LECHFELD: "lechfeld",
  PROPUESTAS_ANDINAS: "propuestas_andinas",
} as const;
export type Deployment = ValueOf<typeof DEPLOYMENT>;

/** Shape of one deployment, reduced to a size that one machine can run. */
export interface DeploymentShape {
  readonly failureDomains: readonly string[];
  readonly runners: number;
  /** Requests that one runner executes at the same time. */
  readonly slots: number;
  /** Mean service time of a request on a runner. */
  readonly serviceMs: number;
  /** Largest deviation of the service time from its mean, as a share of the mean. */
  readonly serviceSpread: number;
  readonly timeoutMs: number;
  readonly progressTimeoutMs: number;
}

export const SHAPES: Readonly<Record<Deployment, DeploymentShape>> = {
  [DEPLOYMENT.LECHFELD]: {
    failureDomains: ["landsberg", "diessen", "schwabmuenchen"],
    runners: 30,
    slots: 8,
    serviceMs: 500,
    serviceSpread: 0.5,
    timeoutMs: 3_000,
    progressTimeoutMs: 1_200,
  },
  [DEPLOYMENT.PROPUESTAS_ANDINAS]: {
    failureDomains: ["quito", "ambato", "riobamba"],
    runners: 30,
    slots: 8,
    serviceMs: 600,
    serviceSpread: 0.9,
    timeoutMs: 4_000,
    progressTimeoutMs: 2_000,
  },
};

export const ENTRIES = 3;
export const RUNNER_PROCESSES = 2;
export const TOKENS = ["token-a", "token-b", "token-c", "token-d"] as const;
export const SERVICE = "quote";

/** Requests per second that the slots of all runners can serve together. */
export function getCapacityPerSecond(shape: DeploymentShape): number {
  return shape.runners * shape.slots * 1_000 / shape.serviceMs;
}

/** One runner as the start command lists it to the entries. */
export interface BenchRunner {
  readonly name: string;
  readonly port: number;
  readonly failureDomain: string;
}

/** From the main process to a runner host, one JSON line each. */
export type RunnerCommand =
  | {
    readonly kind: "start";
    readonly names: readonly string[];
    readonly shape: DeploymentShape;
    readonly seed: number;
  }
  | {
    readonly kind: "fault";
    readonly names: readonly string[];
    readonly fault: "none" | "silent" | "fail";
  }
  | {
    readonly kind: "service_time";
    readonly serviceMs: number;
    readonly serviceSpread: number;
  }
  | { readonly kind: "ledger" };

/** One execution in the ledger of a runner. */
export interface RecordedExecution {
  readonly runner: string;
  readonly requestId: string;
}

/** From a runner host to the main process. */
export type RunnerReply =
  | {
    readonly kind: "started";
    readonly ports: readonly number[];
  }
  | { readonly kind: "done" }
  | {
    readonly kind: "ledger";
    readonly runs: readonly RecordedExecution[];
    readonly refusals: number;
    readonly maximumInUse: number;
  };

/** From the main process to an entry. */
export type EntryCommand =
  | {
    readonly kind: "start";
    readonly entry: string;
    readonly entries: readonly string[];
    readonly runners: readonly BenchRunner[];
    readonly shape: DeploymentShape;
    readonly seed: number;
  }
  | {
    readonly kind: "domain";
    readonly failureDomain: string;
    readonly state: "in" | "out";
  }
  | { readonly kind: "table"; readonly down: boolean }
  | { readonly kind: "usage" };

/** From an entry to the main process. */
export type EntryReply =
  | {
    readonly kind: "started";
    /** The port of each balancing policy. */
    readonly ports: Readonly<Record<BalancingPolicy, number>>;
  }
  | { readonly kind: "done" }
  | {
    readonly kind: "usage";
    readonly processorMs: number;
    readonly residentBytes: number;
  };
