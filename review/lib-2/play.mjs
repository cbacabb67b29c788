/** What all cases share: gateways as processes of the deploy file, the record, the verdict. */

import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Store } from "./store.mjs";

export const HOST = "ficu95.example";
export const KEY = "n2ctnfzs989anu6wsjnb";
export const TENANT = "hule930";
/** Bounds of the small deployments (SYSTEM). */
export const BOUNDS = {
  SeedLagS: 3,
  ReuseAfterS: 2,
  ContactMs: 3000,
  AckMs: 4000,
  CatchUpS: 4,
  DrainMs: 2000,
  GraceS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  RollbackSlackMs: 250,
  OuterMs: 5000,
  RevokeFailClosed: true,
  RevokeMs: 5000,
  RetryBudgetRatio: 0.9,
  BudgetWindowS: 10,
  RetryAllowance: 54,
  ExposureShare: 0.15,
  ExposureAllowance: 30,
  RollbackMs: 5000,
  RecoveryS: 12,
  IterationMs: 120,
  RetryAfterS: 8.8,
  SessionS: 5,
  ttl_max_s: 5,
};
export const HEARTBEAT_MS = 1200;
export const LIMITS = {
  MaxHeaderBytes: 16384,
  MaxBodyBytes: 4194304,
  HeaderTimeoutMs: 3000,
  IdleTimeoutMs: 15000,
};

export const pause = (ms) => new Promise((done) => setTimeout(done, ms));

/** Exit code of a script whose rule was broken; 1 is also that of a script which can't be loaded. */
const BROKEN_CODE = 71;

let currentPlay;

/** Writes a line of the record of the case that runs. */
export function record(text) {
  currentPlay?.note(text);
}

/** Whether the disruption takes place. */
export const TROUBLE = process.env.TROUBLE !== "0";

const FIRST_PORT = 12000;
const LAST_PORT = 31000;
const given = new Set();

/** Returns a free port below those that the system gives to outgoing connections. */
export async function freePort() {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (given.has(port)) continue;
    given.add(port);
    const server = createServer();
    const isFree = await new Promise((done) => {
      server.once("error", () => done(false));
      server.listen(port, "127.0.0.1", () => done(true));
    });
    if (!isFree) continue;
    await new Promise((done) => server.close(done));
    return port;
  }
}

async function freePorts(count) {
  const ports = [];
  while (ports.length < count) ports.push(await freePort());
  return ports;
}

/** Words of the role's `run` in the deploy file. */
function runWords() {
  const text = readFileSync("deploy/system.toml", "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** A gateway process, started again by the platform when it ends. */
class Gateway {
  constructor(name, zone, ports, folder) {
    this.name = name;
    this.zone = zone;
    this.ports = ports;
    this.folder = folder;
    this.isStopped = false;
    this.starts = 0;
  }

  get front() {
    return { host: "127.0.0.1", port: this.ports[0] };
  }

  start(seeds, store) {
    this.file = join(this.folder, `${this.name}.yaml`);
    const address = (n) => `127.0.0.1:${this.ports[n]}`;
    const settings = {
      NodeName: this.name,
      Role: "gateway",
      MachineClass: "edge",
      Serves: ["edge", "control", "registry"],
      Ip: "127.0.0.1",
      Zone: this.zone,
      Region: "kyushu",
      Zones: { "tosu-hall": "kyushu", "kurume-hall": "kyushu", "omuta-hall": "kyushu" },
      ListenersAddr: {
        Frontend: address(0),
        Readiness: address(1),
        ControlPlane: address(2),
        Registry: address(3),
      },
      InternalPortRange: [7340, 7355],
      SeedNodes: seeds,
      Bootstrap: true,
      FaultCounted: false,
      Limits: {
        CpuQuota: 0.675,
        CpuCores: 1,
        MemoryMb: 350,
        FileDescriptors: 4100,
        LinkMbps: 1000,
        DiskMb: 0,
      },
      DataDir: null,
      Discovery: "platform",
      Entry: "registry",
      HeartbeatMs: HEARTBEAT_MS,
      Bounds: BOUNDS,
      Platform: {
        Address: store,
        form: "objects",
        WritesPerS: 400,
        ReadsPerS: 2000,
        HistoryS: 20,
        ValueBytes: 1048576,
        TtlMinMs: 1000,
      },
    };
    // JSON is YAML.
    writeFileSync(this.file, JSON.stringify(settings, null, 1));
    this.#spawn();
  }

  #spawn() {
    this.starts += 1;
    const [program, ...words] = runWords();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program === "node" ? process.execPath : program, words, {
      stdio: ["ignore", "pipe", "pipe"],
      env: { PATH, HOME, LANG, FIELDRACK_SETTINGS: this.file },
    });
    const log = (data) => appendFileSync(join(this.folder, `${this.name}.log`), data);
    child.stdout.on("data", log);
    child.stderr.on("data", log);
    child.on("exit", (code, signal) => {
      if (this.isStopped) return;
      this.onExit?.(code, signal);
      setTimeout(() => this.isStopped || this.#spawn(), 300);
    });
    this.child = child;
  }

  log() {
    return readFileSync(join(this.folder, `${this.name}.log`), "utf8");
  }

  /** Memory in use, in MB. */
  memoryMb() {
    try {
      const text = readFileSync(`/proc/${this.child.pid}/status`, "utf8");
      return Number(/VmRSS:\s+(\d+)/.exec(text)[1]) / 1024;
    } catch {
      return 0;
    }
  }

  async stop() {
    this.isStopped = true;
    if (this.child === undefined || this.child.exitCode !== null || this.child.signalCode !== null) return;
    const exited = new Promise((done) => this.child.once("exit", done));
    this.child.kill("SIGCONT");
    this.child.kill("SIGKILL");
    await exited;
  }
}

const ZONES = ["tosu-hall", "kurume-hall", "omuta-hall"];

/** A deployment on loopback addresses. */
export class Play {
  store = new Store();
  gateways = [];
  #folder = mkdtempSync(join(tmpdir(), "fieldrack-review-"));
  #record = [];
  #startMs = performance.now();
  #closers = [];
  #version = 0;

  /** Milliseconds since the start of the script. */
  now() {
    return performance.now() - this.#startMs;
  }

  /** Writes a line of the record. */
  note(text) {
    this.#record.push(`${(this.now() / 1000).toFixed(3)} s  ${text}`);
  }

  onClose(close) {
    this.#closers.push(close);
  }

  /** Writes the next configuration; the store's answer acknowledges it. */
  configure({ routes, services }) {
    this.#version += 3;
    this.store.put("config", "main", {
      spec: {
        Version: this.#version,
        Routes: routes,
        Services: services,
        Limits: LIMITS,
        Tenants: [{ Name: TENANT, ApiKeys: [KEY] }],
      },
    });
    this.note(`configuration ${this.#version} acknowledged`);
  }

  /** Starts the store and the gateways; resolves when all are ready. */
  async start(count) {
    const address = await this.store.listen();
    const ports = await freePorts(4 * count);
    for (let n = 0; n < count; n++) {
      const zone = ZONES[n % ZONES.length];
      const own = ports.slice(4 * n, 4 * n + 4);
      this.gateways.push(new Gateway(`edge-${zone}-${n + 1}`, zone, own, this.#folder));
    }
    const seeds = this.gateways.slice(0, 3).map(({ ports: own }) => `127.0.0.1:${own[2]}`);
    for (const gateway of this.gateways) {
      gateway.onExit = (code, signal) => this.note(`${gateway.name} ended: ${code ?? signal}`);
      gateway.start(seeds, address);
    }
    for (const gateway of this.gateways) {
      for (let tries = 0;; tries++) {
        if (await isReady(gateway)) break;
        if (tries > 150) throw new Error(`${gateway.name} is not ready`);
        await pause(100);
      }
      this.note(`${gateway.name} is ready`);
    }
  }

  /** Ends everything, writes the record and exits with the verdict. */
  async end(folder, { code, text }) {
    this.note(text);
    for (const gateway of this.gateways) await gateway.stop();
    for (const close of this.#closers) await close();
    this.store.close();
    writeFileSync(join(folder, "record.txt"), `${this.#record.join("\n")}\n`);
    if (process.env.KEEP_LOGS) console.log(this.#folder);
    else rmSync(this.#folder, { recursive: true, force: true });
    console.log(text);
    // `run.sh` turns this into 1, and all codes but 0 into 2.
    process.exit(code === 1 ? BROKEN_CODE : code);
  }
}

async function isReady({ ports }) {
  try {
    const res = await fetch(`http://127.0.0.1:${ports[1]}/-/readyz`, {
      signal: AbortSignal.timeout(500),
    });
    await res.text();
    return res.status === 200;
  } catch {
    return false;
  }
}

/** Runs a case; ends with 2 if it could not run. */
export async function runCase(folder, script) {
  const play = new Play();
  currentPlay = play;
  const stop = (reason) => play.end(folder, { code: 2, text: `could not run: ${reason}` });
  process.once("SIGTERM", () => stop("took too long"));
  process.once("uncaughtException", (err) => stop(err.stack));
  process.once("unhandledRejection", (err) => stop(err?.stack ?? err));
  try {
    await play.end(folder, await script(play));
  } catch (err) {
    await play.end(folder, { code: 2, text: `could not run: ${err.stack}` });
  }
}
