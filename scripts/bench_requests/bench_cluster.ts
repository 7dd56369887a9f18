/** The processes of one bench: runner hosts and entries. */
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

type RunnerHost = ChildProgram<RunnerCommand, RunnerReply>;
type EntryChild = ChildProgram<EntryCommand, EntryReply>;

export interface BenchClusterOptions {
  readonly shape: DeploymentShape;
  readonly seed: number;
}

/** What all runners together have run. */
export interface RunnerLedgers {
  readonly runs: readonly RecordedExecution[];
  readonly refusals: number;
  readonly maximumInUse: number;
}

function getProgram(name: string): string {
  return fileURLToPath(new URL(`./${name}.mjs`, import.meta.url));
}

export class BenchCluster {
  readonly #hosts: RunnerHost[] = [];
  readonly #entries: EntryChild[] = [];
  readonly #ports: Readonly<Record<BalancingPolicy, number>>[] = [];
  readonly runners: BenchRunner[] = [];

  private constructor() {}

  static create(): BenchCluster {
    return new BenchCluster();
  }

  async start(options: BenchClusterOptions): Promise<void> {
    await this.#startRunners(options);
    await this.#startEntries(options);
  }

  /** Entries as targets; the first takes `skew` times the load of the others. */
  getTargets(balancing: BalancingPolicy, skew = 1): LoadTarget[] {
    return this.#ports.map((ports, index) => ({
      kind: "entry",
      port: ports[balancing],
      weight: index === 0 ? skew : 1,
    }));
  }

  async setFault(
    names: readonly string[],
    fault: "none" | "silent" | "fail",
  ): Promise<void> {
    await Promise.all(
      this.#hosts.map((host) => host.ask({ kind: "fault", names, fault })),
    );
  }

  async setServiceTime(
    serviceMs: number,
    serviceSpread: number,
  ): Promise<void> {
    await Promise.all(
      this.#hosts.map((host) =>
        host.ask({ kind: "service_time", serviceMs, serviceSpread })
      ),
    );
  }

  async askEntries(command: EntryCommand): Promise<readonly EntryReply[]> {
    return await Promise.all(this.#entries.map((entry) => entry.ask(command)));
  }

  async readLedger(): Promise<RunnerLedgers> {
    const replies = await Promise.all(
      this.#hosts.map((host) => host.ask({ kind: "ledger" })),
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
    const perHost = shape.runners / RUNNER_PROCESSES;
    for (let index = 0; index < RUNNER_PROCESSES; index++) {
      const host: RunnerHost = ChildProgram.create(
        getProgram("bench_runner_host"),
      );
      this.#hosts.push(host);
      const names = Array.from(
        { length: perHost },
        (_, at) => `runner-${index * perHost + at}`,
      );
      const reply = await host.ask({
        kind: "start",
        names,
        shape,
        seed: seed + index,
      });
      if (reply.kind !== "started") throw new Error("no runners");
      for (const [at, name] of names.entries()) {
        this.#add(name, reply.ports[at] ?? 0, shape);
      }
    }
  }

  #add(name: string, port: number, shape: DeploymentShape): void {
    const domains = shape.failureDomains;
    const failureDomain = domains[this.runners.length % domains.length] ?? "";
    this.runners.push({ name, port, failureDomain });
  }

  async #startEntries({ shape, seed }: BenchClusterOptions): Promise<void> {
    const entries = Array.from({ length: ENTRIES }, (_, at) => `entry-${at}`);
    for (const entry of entries) {
      const child: EntryChild = ChildProgram.create(getProgram("bench_entry"));
      this.#entries.push(child);
      const reply = await child.ask({
        kind: "start",
        entry,
        entries,
        runners: this.runners,
        shape,
        seed: seed + this.#entries.length,
      });
      if (reply.kind !== "started") throw new Error("no entry");
      this.#ports.push(reply.ports);
    }
  }
}
