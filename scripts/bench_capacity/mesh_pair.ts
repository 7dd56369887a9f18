/** Two mesh networks in this process, with one real link over the loopback interface. */
import {
  brandId,
  type EntryName,
  type FailureDomainName,
  type Incarnation,
  ManualClock,
  type RegionName,
} from "@coltsfootpond/common";
import { firstValueFrom } from "rxjs";
import { MeshNetwork } from "../../packages/node/mesh/mesh_network.ts";
import { HEARTBEAT } from "./message_sizes.ts";

const HOST = "127.0.0.1";
const CONNECTION_POLL_MS = 5;

/** The clock of both networks is manual and never advances, so they send only the bench's messages. */
export class MeshPair {
  readonly #first: MeshNetwork;
  readonly #second: MeshNetwork;

  private constructor(first: MeshNetwork, second: MeshNetwork) {
    this.#first = first;
    this.#second = second;
  }

  /** Resolves when the link is up. */
  static async create(): Promise<MeshPair> {
    const first = createNetwork("entry-1");
    const second = createNetwork("entry-2");
    await first.start();
    await second.start();
    first.setPeers([{
      entry: brandId<EntryName>("entry-2"),
      host: HOST,
      port: second.port,
    }]);
    const pair = new MeshPair(first, second);
    while (!pair.#isConnected()) await sleep();
    await sleep();
    return pair;
  }

  /**
   * Sends heartbeats back and forth until each side has sent and received `count / 2`. The processor
   * time of both sides together is that of one entry which sends and receives `count`.
   */
  async exchange(count: number): Promise<void> {
    const entry = brandId<EntryName>("entry-2");
    const firstEntry = brandId<EntryName>("entry-1");
    for (let sent = 0; sent < count / 2; sent++) {
      const arrived = firstValueFrom(this.#second.deliveries);
      this.#first.send(entry, HEARTBEAT);
      await arrived;
      const answered = firstValueFrom(this.#first.deliveries);
      this.#second.send(firstEntry, HEARTBEAT);
      await answered;
    }
  }

  async stop(): Promise<void> {
    await this.#first.stop();
    await this.#second.stop();
  }

  #isConnected(): boolean {
    return this.#first.listConnected().length === 1 &&
      this.#second.listConnected().length === 1;
  }
}

function createNetwork(entry: string): MeshNetwork {
  return MeshNetwork.create({
    identity: {
      entry: brandId<EntryName>(entry),
      incarnation: brandId<Incarnation>(entry),
      region: brandId<RegionName>("region-1"),
      failureDomain: brandId<FailureDomainName>("domain-1"),
    },
    clock: ManualClock.create(),
    events: { emit: () => {} },
    host: HOST,
    port: 0,
    secret: "a shared secret of the bench",
    createHeartbeat: () => HEARTBEAT,
  });
}

function sleep(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, CONNECTION_POLL_MS));
}
