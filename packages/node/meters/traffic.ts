/** Counters of bytes and messages, separate for sent and received. */
import type { TrafficMeter } from "@coltsfootpond/ports";

/** Bytes and messages since the process started. */
export interface TrafficCounts {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly sentMessages: number;
  readonly receivedMessages: number;
}

/** Counts the traffic of one service of the platform or one kind of mesh message. */
export class TrafficCounter implements TrafficMeter {
  #sentBytes = 0;
  #receivedBytes = 0;
  #sentMessages = 0;
  #receivedMessages = 0;

  private constructor() {}

  static create(): TrafficCounter {
    return new TrafficCounter();
  }

  addSent(bytes: number): void {
    this.#sentBytes += bytes;
    this.#sentMessages += 1;
  }

  addReceived(bytes: number): void {
    this.#receivedBytes += bytes;
    this.#receivedMessages += 1;
  }

  snapshot(): TrafficCounts {
    return {
      sentBytes: this.#sentBytes,
      receivedBytes: this.#receivedBytes,
      sentMessages: this.#sentMessages,
      receivedMessages: this.#receivedMessages,
    };
  }
}
