/** A gateway in its own process, with a proxy between it and the store. */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, mkdirSync, writeFileSync } from "node:fs";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { stringify } from "yaml";
import { parseAddress } from "../src/runtime/address.ts";
import { pause } from "../src/runtime/pause.ts";
import { CuttableProxy } from "../tests/fixtures/cuttable_proxy.ts";
import type { CutManner } from "../tests/fixtures/cuttable_connector.ts";
import { freePort } from "../tests/fixtures/free_port.ts";
import { RETRY_BOUND } from "../tests/fixtures/retry_count.ts";
import type { GatewayName } from "./ids.ts";
import { BOUNDS, READS_PER_S } from "./soak_settings.ts";

const PROGRAM = "dist/fieldrack.cjs";
const LINK_FAULTS = "./soak/link_faults.mjs";
const MS_PER_SECOND = 1_000;

/** Ports that a gateway listens on. */
interface Ports {
  readonly callers: number;
  readonly peers: number;
}

/** Options that all gateways of a run share. */
export interface GatewayOptions {
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly store: string;
  /** First three octets of the gateways' IP addresses. */
  readonly network: string;
}

/** A gateway process that is restarted whenever it exits. */
export class SoakGateway {
  readonly name: GatewayName;
  readonly ip: string;
  readonly proxy = new CuttableProxy();
  readonly #options: GatewayOptions;
  #ports: Ports = { callers: 0, peers: 0 };
  #child: ChildProcess | undefined;
  #incarnation = 0;
  #startedMs = 0;
  #stopped = false;
  #storePort = 0;
  #cut: CutManner | undefined;

  constructor(index: number, options: GatewayOptions) {
    this.name = `vm-${index}` as GatewayName;
    this.ip = `${options.network}.${index + 1}`;
    this.#options = options;
  }

  /** Number of times that the process was started. */
  get incarnation(): number {
    return this.#incarnation;
  }

  /** When the current process was started. */
  get startedMs(): number {
    return this.#startedMs;
  }

  /** Address for callers. */
  get callers(): string {
    return `${this.ip}:${this.#ports.callers}`;
  }

  /** Address for other gateways. */
  get peers(): string {
    return `${this.ip}:${this.#ports.peers}`;
  }

  /** Allocates ports; must be called for all gateways before the first one is started. */
  async prepare(): Promise<void> {
    this.#ports = { callers: await freePort(), peers: await freePort() };
  }

  /**
   * Starts the process and keeps it running; `store` overrides the store address of the options.
   */
  async start(
    seeds: readonly string[],
    store = this.#options.store,
  ): Promise<void> {
    this.proxy.forwardTo(parseAddress(store));
    const proxied = await this.proxy.listen();
    this.#storePort = parseAddress(proxied).port;
    const settings = this.#settings(seeds, proxied);
    mkdirSync(this.#options.folder, { recursive: true });
    writeFileSync(this.#settingsFile, stringify(settings));
    this.#spawn();
  }

  /** Sends a signal to the process if it is running. */
  signal(name: NodeJS.Signals): void {
    if (!this.#hasExited()) this.#child?.kill(name);
  }

  /** Cuts the links from the process to all servers, or restores them if `manner` is undefined. */
  setServersCut(manner: CutManner | undefined): void {
    this.#cut = manner;
    if (!this.#hasExited()) this.#child?.send({ cut: manner });
  }

  /** Waits until the process has exited; kills it after the time-out. */
  async waitForExit(timeoutMs: number): Promise<void> {
    const child = this.#child;
    const untilMs = performance.now() + timeoutMs;
    while (child === this.#child && !this.#hasExited()) {
      if (performance.now() > untilMs) this.signal("SIGKILL");
      await pause(20);
    }
  }

  /** Stops the process and does not restart it. */
  async stop(): Promise<void> {
    this.#stopped = true;
    const child = this.#child;
    if (child !== undefined && !this.#hasExited()) {
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

  #hasExited(): boolean {
    const child = this.#child;
    return child === undefined || child.exitCode !== null ||
      child.signalCode !== null;
  }

  #spawn(): void {
    this.#incarnation += 1;
    this.#startedMs = performance.now();
    const log = createWriteStream(`${this.#options.folder}/${this.name}.log`, {
      flags: "a",
    });
    const child = spawn(
      process.execPath,
      [
        "--import",
        LINK_FAULTS,
        PROGRAM,
        "gateway",
        "--settings",
        this.#settingsFile,
      ],
      {
        stdio: ["ignore", "pipe", "pipe", "ipc"],
        env: { ...process.env, SOAK_STORE_PORT: String(this.#storePort) },
      },
    );
    // A process that was killed takes no message; the next one gets the current state below.
    child.on("error", () => {});
    if (this.#cut !== undefined) child.send({ cut: this.#cut });
    child.stdout?.pipe(log, { end: false });
    child.stderr?.pipe(log, { end: false });
    child.once("exit", () => {
      log.end();
      if (!this.#stopped) setTimeout(() => this.#restart(child), RESTART_MS);
    });
    this.#child = child;
  }

  #restart(exited: ChildProcess): void {
    if (!this.#stopped && this.#child === exited) this.#spawn();
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
      Platform: { Address: store, ReadsPerS: READS_PER_S },
    };
  }
}

/** Delay before an exited process is started again. */
const RESTART_MS = 300;
