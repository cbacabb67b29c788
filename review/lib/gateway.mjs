/** Runs gateways as processes of their own, with the command of the deploy file. */

import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
/** Delay before the platform starts a process again that has ended. */
const RESTART_MS = 300;
const RUN = /^run = "([^"]+)"$/m;

/** Bounds and limits of the users' first deployment (SYSTEM.md, tanim-garden). */
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

function freePort(host) {
  return new Promise((done, fail) => {
    const probe = createServer();
    probe.once("error", fail);
    probe.listen(0, host, () => {
      const { port } = probe.address();
      probe.close(() => done(port));
    });
  });
}

function deployCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return RUN.exec(text)[1].split(" ");
}

/** One VM, which the platform starts again whenever its process ends. */
class Gateway {
  #options;
  #child;
  #stopped = false;
  lives = 0;

  constructor(options) {
    this.#options = options;
    Object.assign(this, options.addresses);
    this.name = options.name;
  }

  get pid() {
    return this.#child?.pid;
  }

  start() {
    const { name, folder, settings, log } = this.#options;
    const file = join(folder, `${name}.yaml`);
    // JSON is valid YAML.
    writeFileSync(file, JSON.stringify(settings));
    const [program, ...args] = deployCommand();
    const out = createWriteStream(join(folder, `${name}.log`), { flags: "a" });
    const child = spawn(program, args, {
      cwd: ROOT,
      stdio: ["ignore", "pipe", "pipe"],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? "C.UTF-8",
        FIELDRACK_SETTINGS: file,
      },
    });
    this.lives += 1;
    child.stdout.pipe(out, { end: false });
    child.stderr.pipe(out, { end: false });
    child.once("exit", (code, signal) => {
      log(`${name} ended: code ${code}, signal ${signal}`);
      if (this.#stopped) return;
      setTimeout(() => {
        if (!this.#stopped && this.#child === child) this.start();
      }, RESTART_MS);
    });
    this.#child = child;
  }

  signal(name) {
    this.#child?.kill(name);
  }

  stop() {
    this.#stopped = true;
    const child = this.#child;
    if (child === undefined || child.exitCode !== null) return;
    if (child.signalCode !== null) return;
    return new Promise((done) => {
      child.once("exit", done);
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    });
  }
}

/** Prepares gateways on loopback addresses of their own. */
export async function createGateways(
  count,
  { folder, store, log, bounds = {}, limits = {} },
) {
  const second = 1 + Math.floor(Math.random() * 250);
  const third = 1 + Math.floor(Math.random() * 250);
  const plans = [];
  for (let n = 0; n < count; n++) {
    const ip = `127.${second}.${third}.${n + 1}`;
    plans.push({
      ip,
      addresses: {
        callers: `${ip}:${await freePort(ip)}`,
        readiness: `${ip}:${await freePort(ip)}`,
        control: `${ip}:${await freePort(ip)}`,
        registry: `${ip}:${await freePort(ip)}`,
      },
    });
  }
  const seeds = plans.slice(0, 3).map(({ addresses }) => addresses.control);
  return plans.map(({ ip, addresses }, n) =>
    new Gateway({
      name: `edge-qc-hall-${n + 1}`,
      addresses,
      folder,
      log,
      settings: {
        NodeName: `edge-qc-hall-${n + 1}`,
        Role: "gateway",
        MachineClass: "edge",
        Serves: ["edge", "control", "registry"],
        Ip: ip,
        Zone: "qc-hall",
        Region: "luzon",
        Zones: { "qc-hall": "luzon" },
        ListenersAddr: {
          Frontend: addresses.callers,
          Readiness: addresses.readiness,
          ControlPlane: addresses.control,
          Registry: addresses.registry,
        },
        InternalPortRange: [7340, 7355],
        SeedNodes: seeds,
        Bootstrap: true,
        Limits: {
          CpuQuota: 0.675,
          CpuCores: 1,
          MemoryMb: 350,
          FileDescriptors: 4100,
          LinkMbps: 1000,
          DiskMb: 0,
          ...limits,
        },
        DataDir: null,
        Discovery: "platform",
        Entry: "registry",
        HeartbeatMs: 1200,
        Bounds: { ...BOUNDS, ...bounds },
        Platform: {
          Address: store,
          form: "objects",
          WritesPerS: 400,
          ReadsPerS: 2000,
          HistoryS: 20,
          ValueBytes: 1048576,
          TtlMinMs: 1000,
        },
      },
    })
  );
}
