/** What the bench of calls runs, for each deployment's shape. */
import type { BalancingPolicy } from "@coltsfootpond/node";
import type { ValueOf } from "@coltsfootpond/common";

export const DEPLOYMENT = {
  LECHFELD: "lechfeld",
  PROPUESTAS_ANDINAS: "propuestas_andinas",
} as const;
export type Deployment = ValueOf<typeof DEPLOYMENT>;

/** Shape of one deployment, cut to what one machine can carry. */
export interface DeploymentShape {
  readonly failureDomains: readonly string[];
  readonly runners: number;
  readonly slots: number;
  /** Mean time that a runner takes for a request. */
  readonly serviceMs: number;
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

/** Requests a second that all slots together can serve. */
export function getCapacityPerSecond(shape: DeploymentShape): number {
  return shape.runners * shape.slots * 1_000 / shape.serviceMs;
}

/** One runner as the entries are told of it. */
export interface BenchRunner {
  readonly name: string;
  readonly port: number;
  readonly failureDomain: string;
}

/** Main process to runner host, one JSON line each. */
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

export interface RecordedExecution {
  readonly runner: string;
  readonly requestId: string;
}

/** Runner host to main process. */
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

/** Main process to entry. */
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

/** Entry to main process. */
export type EntryReply =
  | {
    readonly kind: "started";
    /** One port for each balancing way. */
    readonly ports: Readonly<Record<BalancingPolicy, number>>;
  }
  | { readonly kind: "done" }
  | {
    readonly kind: "usage";
    readonly processorMs: number;
    readonly residentBytes: number;
  };
