/** Finds the queues whose declaration a new version of the declared state has changed. */
import type { QueueName } from "@coltsfootpond/policy";
import type { DeclaredState } from "@coltsfootpond/ports";

export class ChangedQueues {
  readonly #declarations = new Map<QueueName, string>();
  #version: number | undefined;

  private constructor() {}

  static create(): ChangedQueues {
    return new ChangedQueues();
  }

  /** Queues that are declared otherwise than at the last call, or no more. */
  update({ version, queues }: DeclaredState): ReadonlySet<QueueName> {
    const changed = new Set<QueueName>();
    if (version === this.#version) return changed;
    this.#version = version;
    const removed = new Set(this.#declarations.keys());
    for (const declaration of queues) {
      const { queue } = declaration;
      const text = JSON.stringify(declaration);
      const known = this.#declarations.get(queue);
      if (known !== undefined && known !== text) changed.add(queue);
      this.#declarations.set(queue, text);
      removed.delete(queue);
    }
    for (const queue of removed) {
      this.#declarations.delete(queue);
      changed.add(queue);
    }
    return changed;
  }
}
