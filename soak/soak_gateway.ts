/** One gateway as a process of its own, with a proxy between it and the store. */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, mkdirSync, writeFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { stringify } from "yaml";
import { parseAddress } from "../src/runtime/address.ts";
import { pause } from "../src/runtime/pause.ts";
import { CuttableProxy } from "../tests/fixtures/cuttable_proxy.ts";
import { freePort } from "../tests/fixtures/free_port.ts";
import { RETRY_BOUND } from "../tests/fixtures/retry_count.ts";
import type { GatewayName } from "./ids.ts";
import { BOUNDS } from "./soak_settings.ts";

const PROGRAM = "dist/fieldrack.cjs";
const MS_PER_SECOND = 1_000;

/** Where a gateway listens. */
interface Ports {
  readonly callers: number;
  readonly peers: number;
}

/** What all gateways of a run share. */
export interface GatewayOptions {
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly store: string;
  /** First three numbers of the gateways' addresses. */
  readonly network: string;
}

/** A gateway that is started again whenever it has ended. */
export class SoakGateway {
  readonly name: GatewayName;
  readonly ip: string;
  readonly proxy = new CuttableProxy();
  readonly #options: GatewayOptions;
  #ports: Ports = { callers: 0, peers: 0 };
  #child: ChildProcess | undefined;
  #life = 0;
  #stopped = false;

  constructor(at: number, options: GatewayOptions) {
    this.name = `vm-${at}` as GatewayName;
    this.ip = `${options.network}.${at + 1}`;
    this.#options = options;
  }

  /** Number of the process's start. */
  get life(): number {
    return this.#life;
  }

  /** Address for callers. */
  get callers(): string {
    return `${this.ip}:${this.#ports.callers}`;
  }

  /** Address for other gateways. */
  get peers(): string {
    return `${this.ip}:${this.#ports.peers}`;
  }

  /** Finds ports; all gateways must have done so before one is started. */
  async prepare(): Promise<void> {
    this.#ports = { callers: await freePort(), peers: await freePort() };
  }

  /** Starts the process, and keeps it running; `store` stands in for that of the options. */
  async start(
    seeds: readonly string[],
    store = this.#options.store,
  ): Promise<void> {
    this.proxy.forwardTo(parseAddress(store));
    const settings = this.#settings(seeds, await this.proxy.listen());
    mkdirSync(this.#options.folder, { recursive: true });
    writeFileSync(this.#settingsFile, stringify(settings));
    this.#spawn();
  }

  /** Sends a signal to the process, if it runs. */
  signal(name: NodeJS.Signals): void {
    if (!this.#hasEnded()) this.#child?.kill(name);
  }

  /** Waits until the process has ended; one that does not end in time is killed. */
  async ended(limitMs: number): Promise<void> {
    const child = this.#child;
    const untilMs = performance.now() + limitMs;
    while (child === this.#child && !this.#hasEnded()) {
      if (performance.now() > untilMs) this.signal("SIGKILL");
      await pause(20);
    }
  }

  /** Ends for good. */
  async stop(): Promise<void> {
    this.#stopped = true;
    const child = this.#child;
    if (child !== undefined && !this.#hasEnded()) {
      const exited = once(child, "exit");
      child.kill("SIGCONT");
      child.kill("SIGKILL");
      await exited;
    }
    this.proxy.close();
  }

  get #settingsFile(): string {
    return `${this.#options.folder}/${this.name}.yaml`;
  }

  #hasEnded(): boolean {
    const child = this.#child;
    return child === undefined || child.exitCode !== null ||
      child.signalCode !== null;
  }

  #spawn(): void {
    this.#life += 1;
    const log = createWriteStream(`${this.#options.folder}/${this.name}.log`, {
      flags: "a",
    });
    const child = spawn(
      process.execPath,
      [PROGRAM, "gateway", "--settings", this.#settingsFile],
      { stdio: ["ignore", "pipe", "pipe"] },
    );
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once("exit", () => {
      log.end();
      if (!this.#stopped) setTimeout(() => this.#restart(child), RESTART_MS);
    });
    this.#child = child;
  }

  #restart(ended: ChildProcess): void {
    if (!this.#stopped && this.#child === ended) this.#spawn();
  }

  #settings(seeds: readonly string[], store: string): object {
    return {
      NodeName: this.name,
      Ip: this.ip,
      Zone: "north",
      InternalPortRange: [1, 1],
      ListenersAddr: { Frontend: this.callers, ControlPlane: this.peers },
      SeedNodes: seeds,
      Bounds: {
        ConfigApplyMs: BOUNDS.configurationApplyMs,
        RevokeMs: BOUNDS.keyRemovalMs,
        RevokeFailClosed: true,
        DrainMs: BOUNDS.drainMs,
        EvacuationMs: BOUNDS.evacuationMs,
        GraceS: BOUNDS.stopGraceMs / MS_PER_SECOND,
        RetryBudgetRatio: RETRY_BOUND.ratio,
        BudgetWindowS: RETRY_BOUND.windowMs / MS_PER_SECOND,
        RetryAllowance: RETRY_BOUND.allowance,
      },
      Platform: { Address: store },
    };
  }
}

/** Pause before a process that has ended is started again. */
const RESTART_MS = 300;
