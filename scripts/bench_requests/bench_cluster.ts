/** Starts, controls and stops the processes of one run of the bench: runner hosts and entries. */
import { fileURLToPath } from "node:url";
import type { BalancingPolicy } from "@coltsfootpond/node";
import { ChildProgram } from "./json_lines.ts";
import type { LoadTarget } from "./load.ts";
import {
  type BenchRunner,
  type DeploymentShape,
  ENTRIES,
  type EntryCommand,
  type EntryReply,
  type RecordedExecution,
  RUNNER_PROCESSES,
  type RunnerCommand,
  type RunnerReply,
} from "./options.ts";

type RunnerHostProgram = ChildProgram<RunnerCommand, RunnerReply>;
type EntryProgram = ChildProgram<EntryCommand, EntryReply>;

export interface BenchClusterOptions {
  readonly shape: DeploymentShape;
  readonly seed: number;
}

/** Merged ledgers of all runners: what they executed since their start. */
export interface RunnerLedgers {
  readonly runs: readonly RecordedExecution[];
  /** Requests that runners refused for want of a free slot. */
  readonly refusals: number;
  /** Largest number of slots that were in use at the same time on one runner. */
  readonly maximumInUse: number;
}

function getProgramPath(name: string): string {
  return fileURLToPath(new URL(`./${name}.mjs`, import.meta.url));
}

/** The main process uses one cluster for all phases and must stop it at the end. */
export class BenchCluster {
  readonly #hosts: RunnerHostProgram[] = [];
  readonly #entries: EntryProgram[] = [];
  readonly #ports: Readonly<Record<BalancingPolicy, number>>[] = [];
  readonly runners: BenchRunner[] = [];

  private constructor() {}

  static create(): BenchCluster {
    return new BenchCluster();
  }

  /** Starts the runner hosts and then the entries, which need the runners' ports. */
  async start(options: BenchClusterOptions): Promise<void> {
    await this.#startRunners(options);
    await this.#startEntries(options);
  }

  /** Entries as targets under a balancing policy; the first has `skew` times the others' weight. */
  getTargets(balancing: BalancingPolicy, skew = 1): LoadTarget[] {
    return this.#ports.map((ports, index) => ({
      kind: "entry",
      port: ports[balancing],
      weight: index === 0 ? skew : 1,
    }));
  }

  /** Sets the fault of the named runners. */
  async setFault(
    names: readonly string[],
    fault: "none" | "silent" | "fail",
  ): Promise<void> {
    await Promise.all(
      this.#hosts.map((host) =>
        host.sendCommand({ kind: "fault", names, fault })
      ),
    );
  }

  /** Sets the service time of all runners: its mean, and its largest deviation as a share of the mean. */
  async setServiceTime(
    serviceMs: number,
    serviceSpread: number,
  ): Promise<void> {
    await Promise.all(
      this.#hosts.map((host) =>
        host.sendCommand({ kind: "service_time", serviceMs, serviceSpread })
      ),
    );
  }

  /** Sends the command to every entry; returns their replies in the order of the entries. */
  async sendToEntries(command: EntryCommand): Promise<readonly EntryReply[]> {
    return await Promise.all(
      this.#entries.map((entry) => entry.sendCommand(command)),
    );
  }

  async readLedgers(): Promise<RunnerLedgers> {
    const replies = await Promise.all(
      this.#hosts.map((host) => host.sendCommand({ kind: "ledger" })),
    );
    const ledgers = replies.filter((reply) => reply.kind === "ledger");
    return {
      runs: ledgers.flatMap(({ runs }) => runs),
      refusals: ledgers.reduce((sum, { refusals }) => sum + refusals, 0),
      maximumInUse: Math.max(...ledgers.map((ledger) => ledger.maximumInUse)),
    };
  }

  async stop(): Promise<void> {
    const children = [...this.#hosts, ...this.#entries];
    await Promise.all(children.map((child) => child.stop()));
  }

  async #startRunners({ shape, seed }: BenchClusterOptions): Promise<void> {
    const runnersPerHost = shape.runners / RUNNER_PROCESSES;
    for (let index = 0; index < RUNNER_PROCESSES; index++) {
      const host: RunnerHostProgram = ChildProgram.create(
        getProgramPath("bench_runner_host"),
      );
      this.#hosts.push(host);
      const names = Array.from(
        { length: runnersPerHost },
        (_, at) => `runner-${index * runnersPerHost + at}`,
      );
      const reply = await host.sendCommand({
        kind: "start",
        names,
        shape,
        seed: seed + index,
      });
      if (reply.kind !== "started") {
        throw new Error("a runner host did not start its runners");
      }
      for (const [at, name] of names.entries()) {
        this.#addRunner(name, reply.ports[at] ?? 0, shape);
      }
    }
  }

  #addRunner(name: string, port: number, shape: DeploymentShape): void {
    const domains = shape.failureDomains;
    const failureDomain = domains[this.runners.length % domains.length] ?? "";
    this.runners.push({ name, port, failureDomain });
  }

  async #startEntries({ shape, seed }: BenchClusterOptions): Promise<void> {
    const entries = Array.from({ length: ENTRIES }, (_, at) => `entry-${at}`);
    for (const entry of entries) {
      const child: EntryProgram = ChildProgram.create(
        getProgramPath("bench_entry"),
      );
      this.#entries.push(child);
      const reply = await child.sendCommand({
        kind: "start",
        entry,
        entries,
        runners: this.runners,
        shape,
        seed: seed + this.#entries.length,
      });
      if (reply.kind !== "started") {
        throw new Error("an entry did not start its HTTP servers");
      }
      this.#ports.push(reply.ports);
    }
  }
}
