/**
 * One entry, the process on a VM: its HTTP server, mesh and controllers. Starts them in the order
 * of their dependencies, and stops without interrupting requests in progress.
 */
import {
  brandId,
  type Clock,
  createUniqueId,
  type EntrySettings,
  EventRing,
  type Incarnation,
  type Random,
  type TimelineEvent,
} from "@coltsfootpond/common";
import { createHttpPlatform } from "@coltsfootpond/ports";
import type { Subscription } from "rxjs";
import { EVENT_RING_CAPACITY } from "./constants.ts";
import { EntryCore } from "./entry_core.ts";
import { createAuthenticate } from "./http/authenticator.ts";
import { HttpServer } from "./http/server.ts";
import { MeshNetwork } from "./mesh/mesh_network.ts";
import { createMeteredPlatform } from "./meters/metered_platform.ts";
import { Meters } from "./meters/meters.ts";
import { createOperatorRoutes } from "./operators/operator_routes.ts";
import type { Readiness } from "./operators/types.ts";
import {
  createRequestRoutes,
  type RequestRoutes,
} from "./requests/create_request_routes.ts";
import type { EntryContext, Member } from "./types.ts";

/** The entry still accepts requests for this long while not ready, so that balancers notice. */
const NOT_READY_DELAY_MS = 1_500;

export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly onEvent?: (event: TimelineEvent) => void;
}

/** Where a started entry listens: the bound ports, also when the settings ask for port 0. */
export interface ListeningAddress {
  readonly host: string;
  readonly httpPort: number;
  readonly meshPort: number;
}

/** Created and started by the daemon `coltsfootpondd`. */
export class Entry {
  readonly #options: EntryOptions;
  readonly #events: EventRing;
  readonly #meters: Meters;
  readonly #context: EntryContext;
  readonly #mesh: MeshNetwork;
  #core: EntryCore | undefined;
  #requests: RequestRoutes | undefined;
  #server: HttpServer | undefined;
  #subscription: Subscription | undefined;
  #isLeaving = false;

  private constructor(options: EntryOptions) {
    const { settings, clock, random, onEvent } = options;
    const { entry, region, failureDomain } = settings;
    const incarnation = brandId<Incarnation>(createUniqueId());
    this.#options = options;
    this.#events = EventRing.create({
      clock,
      process: entry,
      incarnation,
      capacity: EVENT_RING_CAPACITY,
      onEvent,
    });
    this.#meters = Meters.create({ clock });
    const address = {
      host: settings.platformHost,
      port: settings.platformPort,
    };
    const platform = createMeteredPlatform(
      createHttpPlatform(address, this.#meters.platform),
      this.#meters,
    );
    this.#context = {
      identity: { entry, incarnation, region, failureDomain },
      clock,
      random,
      events: this.#events,
      platform,
    };
    this.#mesh = MeshNetwork.create({
      identity: this.#context.identity,
      clock,
      events: this.#events,
      host: settings.host,
      port: settings.meshPort,
      secret: settings.meshSecret,
      meter: this.#meters,
      createHeartbeat: () => this.#getCore().state.createHeartbeat(),
    });
  }

  static create(options: EntryOptions): Entry {
    return new Entry(options);
  }

  async start(): Promise<ListeningAddress> {
    const { host, httpPort } = this.#options.settings;
    await this.#mesh.start();
    const address = { host, httpPort, meshPort: this.#mesh.port };
    const core = EntryCore.create({
      context: this.#context,
      mesh: this.#mesh,
      address,
    });
    this.#core = core;
    this.#requests = this.#createRequests(core);
    this.#server = this.#createServer(core, this.#requests);
    const bound = await this.#server.listen({ host, port: httpPort });
    address.httpPort = bound.port;
    this.#subscription = core.state.membership.changes.subscribe((members) =>
      this.#setPeers(members)
    );
    await core.start();
    await this.#requests.start();
    this.#events.emit("entry.started", { entry: this.#context.identity.entry });
    return address;
  }

  /**
   * Becomes not ready, hands over its failure domains, finishes requests in progress, then stops.
   * Further calls return at once.
   */
  async stop(): Promise<void> {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    const { clock, events } = this.#context;
    const { stopTimeoutMs } = this.#options.settings;
    events.emit("entry.leaving");
    await this.#core?.leave();
    await clock.sleep(NOT_READY_DELAY_MS);
    this.#requests?.releaseWaitingCallers();
    await this.#server?.stop({ timeoutMs: stopTimeoutMs });
    await this.#requests?.stop();
    await this.#core?.stop();
    this.#subscription?.unsubscribe();
    await this.#mesh.stop();
    events.emit("entry.stopped");
  }

  #getCore(): EntryCore {
    if (this.#core === undefined) throw new Error("the entry has not started");
    return this.#core;
  }

  #createRequests(core: EntryCore): RequestRoutes {
    const { configuration, failureDomains, membership } = core.state;
    return createRequestRoutes({
      context: this.#context,
      configuration,
      failureDomains,
      table: core.table,
      jobs: core.jobApi,
      membership,
    });
  }

  #createServer(core: EntryCore, requests: RequestRoutes): HttpServer {
    const { clock } = this.#context;
    const { bootstrapOperatorTokenDigests } = this.#options.settings;
    const { configuration, failureDomains, membership, ownership } = core.state;
    const operatorRoutes = createOperatorRoutes({
      context: this.#context,
      configuration,
      failureDomains,
      membership,
      ownership,
      summaries: core.jobs,
      jobs: core.jobApi,
      events: this.#events,
      meters: this.#meters,
      getReadiness: () => this.#getReadiness(),
    });
    return HttpServer.create({
      routes: [...requests.routes, ...operatorRoutes],
      authenticate: createAuthenticate({
        configuration,
        bootstrapOperatorTokenDigests,
      }),
      clock,
      events: this.#events,
    });
  }

  #getReadiness(): Readiness {
    if (this.#isLeaving) return { kind: "not_ready", reason: "leaving" };
    const configuration = this.#core?.state.configuration;
    if (configuration?.current() === undefined) {
      return { kind: "not_ready", reason: "no configuration" };
    }
    return { kind: "ready" };
  }

  #setPeers(members: readonly Member[]): void {
    this.#core?.table.setEntryCount(members.length);
    this.#mesh.setPeers(
      members.filter((member) => !member.self).map(({ entry, row }) => ({
        entry,
        host: row.host,
        port: row.meshPort,
      })),
    );
  }
}
