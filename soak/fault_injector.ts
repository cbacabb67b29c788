/** Injects the planned faults and records which gateways and servers they affect. */

import { performance } from "node:perf_hooks";
import process from "node:process";
import { pause } from "../src/runtime/pause.ts";
import type { StoreFaults } from "../src/standins/object_store_standin.ts";
import { ALL_CALLERS } from "../tests/fixtures/cuttable_proxy.ts";
import type { Fault, PlannedFault } from "./fault_plan.ts";
import type {
  FaultTarget,
  FaultWindow,
  History,
  ServerFaultWindow,
} from "./history.ts";
import { SERVERS_CUT } from "./partition_check.ts";
import type { RejectingService } from "./rejecting_service.ts";
import type { SoakGateway } from "./soak_gateway.ts";
import { SoakServer } from "./soak_server.ts";
import { BOUNDS, MS_PER_SECOND, WARMUP } from "./soak_settings.ts";
import type { SoakStore } from "./soak_store.ts";

/** Time within which a started gateway process serves again. */
const GATEWAY_START_MS = 2_500;
/** Time after which backend servers have registered again. */
const REREGISTER_MS = 1_500;
const STORE_DELAY_MS = 250;
/** While the store is down, pending watches get no response either. */
const STORE_DOWN: StoreFaults = { down: true, watchesStuck: true };

/** The parts of a run that faults act on. */
export interface Fleet {
  readonly history: History;
  readonly store: SoakStore;
  readonly gateways: readonly SoakGateway[];
  /** Changes as servers crash and are replaced. */
  readonly servers: SoakServer[];
  readonly rejecting: RejectingService;
}

/** Carries out fault plans. */
export class FaultInjector {
  readonly #fleet: Fleet;
  #serverNumber = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** Starts and registers a backend server, which replaces the previous one at the index. */
  async startServer(index: number): Promise<void> {
    const { history, store, servers } = this.#fleet;
    this.#serverNumber += 1;
    // Concurrent runs may reuse each other's ports, but never each other's server names.
    const name = `s-${process.pid}-${this.#serverNumber}`;
    const server = new SoakServer(name, history);
    server.onCrash = () => {
      // The server may have crashed for another reason meanwhile, and been replaced.
      if (servers[index] === server) void this.#crashServer(index);
    };
    servers[index] = server;
    store.register(server, await server.listen());
  }

  /** Injects all faults; resolves when the last one has ended. */
  async run(plan: readonly PlannedFault[]): Promise<void> {
    const startMs = performance.now();
    const pending: Promise<void>[] = [];
    for (const { atMs, durationMs, fault } of plan) {
      await pause(Math.max(0, startMs + atMs - performance.now()));
      pending.push(this.#inject(fault, durationMs));
    }
    await Promise.all(pending);
  }

  async #inject(fault: Fault, durationMs: number): Promise<void> {
    const { store } = this.#fleet;
    switch (fault.tag) {
      case "kill":
        return await this.#killGateways(fault.gateways);
      case "planned_stop":
        return await this.#stopGateway(fault.gateway);
      case "freeze":
        return await this.#freezeGateway(fault.gateway, durationMs);
      case "reload":
        return this.#gateway(fault.gateway).signal("SIGHUP");
      case "store_cut":
        return await this.#cutStore(fault.gateway, durationMs);
      case "servers_cut":
        return await this.#cutServers(fault, durationMs);
      case "store_reset":
        return await this.#resetStore(fault.gateway);
      case "store_down":
        return await this.#injectStoreFault(fault.tag, durationMs, STORE_DOWN);
      case "store_slow":
        return await this.#injectStoreFault(fault.tag, durationMs, {
          delayMs: STORE_DELAY_MS,
        });
      case "store_loses_answers":
        return await this.#injectStoreFault(fault.tag, durationMs, {
          loseWriteAnswers: true,
        });
      case "watches_stuck":
        return await this.#injectStoreFault(fault.tag, durationMs, {
          watchesStuck: true,
        });
      case "history_forgotten":
        return store.discardHistory();
      case "restore":
        return await this.#restoreStore(fault);
      case "servers_lapse":
        return await this.#expireServers(durationMs);
      case "server":
        return await this.#setServerMode(fault, durationMs);
      case "server_crash":
        return await this.#crashServer(fault.server);
      case "server_leaves":
        return await this.#drainServer(fault.server);
      case "server_says_it_leaves":
        return await this.#advertiseDraining(fault.server, durationMs);
      case "configuration":
        return store.configure();
      case "key_removed":
        return store.removeKey();
      case "evacuation":
        return await this.#evacuateServers(durationMs, fault);
    }
  }

  async #cutServers(
    { gateways, manner }: Extract<Fault, { tag: "servers_cut" }>,
    durationMs: number,
  ): Promise<void> {
    await Promise.all(gateways.map(async (index) => {
      const gateway = this.#gateway(index);
      await this.#recordFault(SERVERS_CUT, gateway.name, async () => {
        gateway.setServersCut(manner);
        await pause(durationMs);
        gateway.setServersCut(undefined);
      });
    }));
  }

  async #killGateways(gateways: readonly number[]): Promise<void> {
    await Promise.all(gateways.map(async (index) => {
      const gateway = this.#gateway(index);
      await this.#recordFault("kill", gateway.name, async () => {
        gateway.signal("SIGKILL");
        await pause(GATEWAY_START_MS);
      });
    }));
  }

  async #stopGateway(index: number): Promise<void> {
    const gateway = this.#gateway(index);
    this.#fleet.history.plannedStops.push({
      gateway: gateway.name,
      atMs: performance.now(),
    });
    gateway.signal("SIGTERM");
    await gateway.waitForExit(BOUNDS.stopGraceMs);
  }

  async #freezeGateway(index: number, durationMs: number): Promise<void> {
    const gateway = this.#gateway(index);
    await this.#recordFault("freeze", gateway.name, async () => {
      gateway.signal("SIGSTOP");
      await pause(durationMs);
      gateway.signal("SIGCONT");
    });
  }

  async #cutStore(index: number, durationMs: number): Promise<void> {
    const { name, proxy } = this.#gateway(index);
    await this.#recordFault("store_cut", name, async () => {
      proxy.cut(ALL_CALLERS);
      await pause(durationMs);
      proxy.heal();
    });
  }

  async #resetStore(index: number): Promise<void> {
    const { name, proxy } = this.#gateway(index);
    await this.#recordFault("store_reset", name, () => {
      proxy.reset();
      return Promise.resolve();
    });
  }

  async #injectStoreFault(
    name: string,
    durationMs: number,
    faults: StoreFaults,
  ): Promise<void> {
    const { store } = this.#fleet;
    const faultId = `${name}-${performance.now()}`;
    await this.#recordFault(name, "all", async () => {
      store.beginFault(faultId, faults);
      await pause(durationMs);
      store.endFault(faultId);
    });
  }

  async #expireServers(durationMs: number): Promise<void> {
    const { store } = this.#fleet;
    const faultId = `lapse-${performance.now()}`;
    await this.#recordFault("servers_lapse", "all", async () => {
      store.beginFault(faultId, STORE_DOWN);
      await pause(durationMs);
      store.expireServers();
      store.endFault(faultId);
      await pause(REREGISTER_MS);
      store.reregisterServers();
    });
  }

  /** Not recorded as a fault that excuses gateways: they are to bridge a restore. */
  async #restoreStore(
    fault: Extract<Fault, { tag: "restore" }>,
  ): Promise<void> {
    const { store, history } = this.#fleet;
    const { lostMs, awayMs, rewriteMs, operatorFirst } = fault;
    const copy = store.copy();
    store.configure();
    await pause(lostMs);
    const faultId = `restore-${performance.now()}`;
    store.beginFault(faultId, STORE_DOWN);
    await pause(awayMs);
    store.restore(copy);
    store.endFault(faultId);
    const readsBefore = store.reads;
    const counted = pause(MS_PER_SECOND).then(() => store.reads - readsBefore);
    await pause(rewriteMs);
    store.rewrite({ operatorFirst });
    const { version } = store;
    const writtenMs = performance.now();
    const readsPerSecond = await counted;
    history.restores.push({ version, writtenMs, readsPerSecond });
    await pause(BOUNDS.configurationApplyMs);
  }

  async #setServerMode(
    { server, mode }: Extract<Fault, { tag: "server" }>,
    durationMs: number,
  ): Promise<void> {
    const target = this.#server(server);
    const window = this.#recordServerFault(target);
    target.mode = mode;
    await pause(durationMs);
    target.mode = "sound";
    window.untilMs = performance.now();
  }

  async #crashServer(index: number): Promise<void> {
    const { store } = this.#fleet;
    const server = this.#server(index);
    this.#recordServerFault(server);
    server.close();
    await pause(REREGISTER_MS);
    store.deregister(server);
    if (this.#server(index) === server) await this.startServer(index);
  }

  async #evacuateServers(
    durationMs: number,
    { unwatched = false }: { unwatched?: boolean },
  ): Promise<void> {
    const { store } = this.#fleet;
    // Not recorded as a fault that excuses gateways: the store still answers all other calls.
    const faults = { watchesStuck: unwatched };
    store.beginFault("evacuation", faults);
    store.evacuate();
    await pause(durationMs);
    store.endFault("evacuation");
    store.liftEvacuation();
    await pause(MS_PER_SECOND * WARMUP.durationS);
  }

  async #drainServer(index: number): Promise<void> {
    const { store } = this.#fleet;
    const server = this.#server(index);
    this.#recordServerFault(server);
    store.drain(server);
    await this.startServer(index);
    await pause(2 * BOUNDS.drainMs);
    store.deregister(server);
    // Keeps the server running for a while, so that requests that arrive late are recorded.
    await pause(BOUNDS.drainMs);
    server.close();
  }

  /** Only the server's responses say that it is draining; it is replaced when it ends. */
  async #advertiseDraining(index: number, durationMs: number): Promise<void> {
    const server = this.#server(index);
    this.#recordServerFault(server);
    server.mode = "leaves";
    await pause(durationMs);
    await this.#crashServer(index);
  }

  #recordServerFault({ name }: SoakServer): ServerFaultWindow {
    const fromMs = performance.now();
    const window = { server: name, fromMs, untilMs: Infinity };
    this.#fleet.history.serverFaultWindows.push(window);
    return window;
  }

  async #recordFault(
    name: string,
    target: FaultTarget,
    action: () => Promise<void>,
  ): Promise<void> {
    const fromMs = performance.now();
    const window: FaultWindow = { name, target, fromMs, untilMs: Infinity };
    this.#fleet.history.faultWindows.push(window);
    await action();
    window.untilMs = performance.now();
  }

  #gateway(index: number): SoakGateway {
    const gateway = this.#fleet.gateways[index];
    if (gateway === undefined) throw new Error(`No gateway at index ${index}`);
    return gateway;
  }

  #server(index: number): SoakServer {
    const server = this.#fleet.servers[index];
    if (server === undefined) throw new Error(`No server at index ${index}`);
    return server;
  }
}
