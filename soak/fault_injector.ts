/** Injects the planned faults, and notes whom they trouble. */

import { performance } from "node:perf_hooks";
import process from "node:process";
import { pause } from "../src/runtime/pause.ts";
import type { StoreFaults } from "../src/standins/object_store_standin.ts";
import { ALL_CALLERS } from "../tests/fixtures/cuttable_proxy.ts";
import type { Fault, PlannedFault } from "./fault_plan.ts";
import type { History, ServerTrouble, Trouble, Victim } from "./history.ts";
import type { RejectingService } from "./rejecting_service.ts";
import type { SoakGateway } from "./soak_gateway.ts";
import { SoakServer } from "./soak_server.ts";
import { BOUNDS, MS_PER_SECOND, WARMUP } from "./soak_settings.ts";
import type { SoakStore } from "./soak_store.ts";

/** Time in which a process that was started serves again. */
const START_MS = 2_500;
/** Time after which servers have written themselves down again. */
const RELIST_MS = 1_500;
const SLOW_MS = 250;
/** A store that is away does not answer watches that wait either. */
const AWAY: StoreFaults = { down: true, watchesStuck: true };

/** The parts of a run that faults touch. */
export interface Fleet {
  readonly history: History;
  readonly store: SoakStore;
  readonly gateways: readonly SoakGateway[];
  /** Changes as servers crash and new ones come. */
  readonly servers: SoakServer[];
  readonly rejecting: RejectingService;
}

/** Carries out one plan. */
export class FaultInjector {
  readonly #fleet: Fleet;
  #serverNumber = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** Starts a server and writes it down; it takes the place of one that ended. */
  async startServer(at: number): Promise<void> {
    const { history, store, servers } = this.#fleet;
    this.#serverNumber += 1;
    // Runs beside each other may get each other's ports, but never each other's names.
    const name = `s-${process.pid}-${this.#serverNumber}`;
    const server = new SoakServer(name, history);
    server.onPoisoned = () => {
      // It may have crashed otherwise meanwhile, and been replaced.
      if (servers[at] === server) void this.#crash(at);
    };
    servers[at] = server;
    store.list(server, await server.listen());
  }

  /** Injects all faults; resolves when the last has ended. */
  async run(plan: readonly PlannedFault[]): Promise<void> {
    const startMs = performance.now();
    const ends: Promise<void>[] = [];
    for (const { atMs, forMs, fault } of plan) {
      await pause(Math.max(0, startMs + atMs - performance.now()));
      ends.push(this.#inject(fault, forMs));
    }
    await Promise.all(ends);
  }

  async #inject(fault: Fault, forMs: number): Promise<void> {
    const { store } = this.#fleet;
    switch (fault.tag) {
      case "kill":
        return await this.#kill(fault.gateways);
      case "planned_stop":
        return await this.#stop(fault.gateway);
      case "freeze":
        return await this.#freeze(fault.gateway, forMs);
      case "reload":
        return this.#gateway(fault.gateway).signal("SIGHUP");
      case "store_cut":
        return await this.#cut(fault.gateway, forMs);
      case "store_reset":
        return await this.#reset(fault.gateway);
      case "store_down":
        return await this.#storeFault(fault.tag, forMs, AWAY);
      case "store_slow":
        return await this.#storeFault(fault.tag, forMs, { delayMs: SLOW_MS });
      case "store_loses_answers":
        return await this.#storeFault(fault.tag, forMs, {
          loseWriteAnswers: true,
        });
      case "watches_stuck":
        return await this.#storeFault(fault.tag, forMs, { watchesStuck: true });
      case "history_forgotten":
        return store.forgetHistory();
      case "servers_lapse":
        return await this.#lapse(forMs);
      case "server":
        return await this.#serverMode(fault, forMs);
      case "server_crash":
        return await this.#crash(fault.server);
      case "server_leaves":
        return await this.#leave(fault.server);
      case "server_says_it_leaves":
        return await this.#sayItLeaves(fault.server, forMs);
      case "configuration":
        return store.configure();
      case "key_removed":
        return store.removeKey();
      case "evacuation":
        return await this.#evacuate(forMs, fault);
    }
  }

  async #kill(gateways: readonly number[]): Promise<void> {
    await Promise.all(gateways.map(async (at) => {
      const gateway = this.#gateway(at);
      await this.#during("kill", gateway.name, async () => {
        gateway.signal("SIGKILL");
        await pause(START_MS);
      });
    }));
  }

  async #stop(at: number): Promise<void> {
    const gateway = this.#gateway(at);
    this.#fleet.history.plannedStops.push({
      gateway: gateway.name,
      atMs: performance.now(),
    });
    gateway.signal("SIGTERM");
    await gateway.ended(BOUNDS.stopGraceMs);
  }

  async #freeze(at: number, forMs: number): Promise<void> {
    const gateway = this.#gateway(at);
    await this.#during("freeze", gateway.name, async () => {
      gateway.signal("SIGSTOP");
      await pause(forMs);
      gateway.signal("SIGCONT");
    });
  }

  async #cut(at: number, forMs: number): Promise<void> {
    const { name, proxy } = this.#gateway(at);
    await this.#during("store_cut", name, async () => {
      proxy.cut(ALL_CALLERS);
      await pause(forMs);
      proxy.heal();
    });
  }

  async #reset(at: number): Promise<void> {
    const { name, proxy } = this.#gateway(at);
    await this.#during("store_reset", name, () => {
      proxy.reset();
      return Promise.resolve();
    });
  }

  async #storeFault(
    name: string,
    forMs: number,
    faults: StoreFaults,
  ): Promise<void> {
    const { store } = this.#fleet;
    const own = `${name}-${performance.now()}`;
    await this.#during(name, "all", async () => {
      store.begin(own, faults);
      await pause(forMs);
      store.end(own);
    });
  }

  async #lapse(forMs: number): Promise<void> {
    const { store } = this.#fleet;
    const own = `lapse-${performance.now()}`;
    await this.#during("servers_lapse", "all", async () => {
      store.begin(own, AWAY);
      await pause(forMs);
      store.lapse();
      store.end(own);
      await pause(RELIST_MS);
      store.relist();
    });
  }

  async #serverMode(
    { server, mode }: Extract<Fault, { tag: "server" }>,
    forMs: number,
  ): Promise<void> {
    const found = this.#server(server);
    const trouble = this.#noteTrouble(found);
    found.mode = mode;
    await pause(forMs);
    found.mode = "sound";
    trouble.untilMs = performance.now();
  }

  async #crash(at: number): Promise<void> {
    const { store } = this.#fleet;
    const server = this.#server(at);
    this.#noteTrouble(server);
    server.close();
    await pause(RELIST_MS);
    store.unlist(server);
    if (this.#server(at) === server) await this.startServer(at);
  }

  async #evacuate(
    forMs: number,
    { unwatched = false }: { unwatched?: boolean },
  ): Promise<void> {
    const { store } = this.#fleet;
    // Excuses nothing: the store answers all other calls.
    const faults = { watchesStuck: unwatched };
    store.begin("evacuation", faults);
    store.evacuate();
    await pause(forMs);
    store.end("evacuation");
    store.takeBack();
    await pause(MS_PER_SECOND * WARMUP.durationS);
  }

  async #leave(at: number): Promise<void> {
    const { store } = this.#fleet;
    const server = this.#server(at);
    this.#noteTrouble(server);
    store.leave(server);
    await this.startServer(at);
    await pause(2 * BOUNDS.drainMs);
    store.unlist(server);
    // It goes on for a while, so that late work is seen.
    await pause(BOUNDS.drainMs);
    server.close();
  }

  /** Only its answers say so; another one takes its place as it ends. */
  async #sayItLeaves(at: number, forMs: number): Promise<void> {
    const server = this.#server(at);
    this.#noteTrouble(server);
    server.mode = "leaves";
    await pause(forMs);
    await this.#crash(at);
  }

  #noteTrouble({ name }: SoakServer): ServerTrouble {
    const fromMs = performance.now();
    const trouble = { server: name, fromMs, untilMs: Infinity };
    this.#fleet.history.serverTroubles.push(trouble);
    return trouble;
  }

  async #during(
    name: string,
    victim: Victim,
    work: () => Promise<void>,
  ): Promise<void> {
    const fromMs = performance.now();
    const trouble: Trouble = { name, victim, fromMs, untilMs: Infinity };
    this.#fleet.history.troubles.push(trouble);
    await work();
    trouble.untilMs = performance.now();
  }

  #gateway(at: number): SoakGateway {
    const gateway = this.#fleet.gateways[at];
    if (gateway === undefined) throw new Error(`There is no gateway ${at}`);
    return gateway;
  }

  #server(at: number): SoakServer {
    const server = this.#fleet.servers[at];
    if (server === undefined) throw new Error(`There is no server ${at}`);
    return server;
  }
}
