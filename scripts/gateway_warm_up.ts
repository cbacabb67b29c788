/**
 * Runs the bundled gateway before stand-ins for a moment, so that the code which requests
 * and digests take is compiled, and lets it write that code down.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { setTimeout as pause } from "node:timers/promises";
import { request } from "undici";
import { stringify } from "yaml";
import { GatewayProcess } from "../src/gateway/gateway_process.ts";
import { decodeVmSettings } from "../src/platform/vm_settings_wire.ts";
import { SilentLogger } from "../src/runtime/logger.ts";
import { ObjectStoreStandin } from "../src/standins/object_store_standin.ts";

/** Requests of each kind; V8 keeps the code of functions that were called once. */
const REQUESTS = 12;
/** Time for the gateways to find each other and to exchange some digests. */
const SETTLE_MS = 2_000;
/** Longest wait for the gateway's start. */
const START_LIMIT_MS = 20_000;
const POLL_MS = 100;
const HOST = "warm.example";
const KEY = "warm-key";
/** Addresses of one gateway: for callers, readiness, other VMs, and lists of addresses. */
const LISTENERS = 4;

const folder = process.argv[2] ?? "target";
const DEPLOY_FILE = "deploy/system.toml";

async function main(): Promise<void> {
  const store = new ObjectStoreStandin();
  const storeAddress = await store.listen();
  const backend = await startBackend();
  fillStore(store, addressOf(backend));
  const all = await portsOf(2 * LISTENERS);
  const ports = all.slice(0, LISTENERS);
  const peerPorts = all.slice(LISTENERS);
  const peer = await startPeer(storeAddress, {
    ports: peerPorts,
    seeds: ports,
  });
  const child = startChild(storeAddress, { ports, seeds: peerPorts });
  await untilServing(ports[0] as number);
  await pause(SETTLE_MS);
  await sendRequests(ports[0] as number);
  child.stdin?.end("write");
  const [code] = await once(child, "exit");
  await peer.stop();
  backend.closeAllConnections();
  backend.close();
  await store.close();
  process.exit(code as number ?? 1);
}

/** Ports from the operating system; several builds may run at once. */
async function portsOf(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = createServer();
      server.listen(0, "127.0.0.1");
      await once(server, "listening");
      return server;
    }),
  );
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  for (const server of servers) server.close();
  return ports;
}

function settingsOf(
  store: string,
  { ports, seeds }: { ports: number[]; seeds: number[] },
): string {
  const at = (index: number) => `127.0.0.1:${ports[index]}`;
  return stringify({
    NodeName: `warm-${ports[0]}`,
    Ip: "127.0.0.1",
    Zone: "north",
    InternalPortRange: [1, 1],
    ListenersAddr: {
      Frontend: at(0),
      Readiness: at(1),
      ControlPlane: at(2),
      Registry: at(3),
    },
    SeedNodes: [`127.0.0.1:${seeds[2]}`],
    Platform: { Address: store },
  });
}

async function startPeer(
  store: string,
  at: { ports: number[]; seeds: number[] },
): Promise<GatewayProcess> {
  const settings = decodeVmSettings(settingsOf(store, at));
  if (!settings.ok) throw new Error("Settings of the warm-up are wrong");
  const gateway = new GatewayProcess({
    vmSettings: { ...settings.value, metricsPort: undefined },
    logger: new SilentLogger(),
  });
  await gateway.start();
  return gateway;
}

function startChild(
  store: string,
  at: { ports: number[]; seeds: number[] },
): ChildProcess {
  const path = `${folder}/warm_up.yaml`;
  writeFileSync(path, settingsOf(store, at));
  return spawn(
    process.execPath,
    [...deployedFlags(), `${folder}/gateway.cjs`, "--write-code"],
    {
      stdio: ["pipe", "ignore", "inherit"],
      env: { ...process.env, FIELDRACK_SETTINGS: path },
    },
  );
}

/** Flags that the program runs with: V8 refuses code that was compiled with others. */
function deployedFlags(): string[] {
  const [, flags] = /^run = "node (.*) target\/gateway\.cjs"$/m.exec(
    readFileSync(DEPLOY_FILE, "utf8"),
  ) ?? [];
  if (flags === undefined) {
    throw new Error(`${DEPLOY_FILE} does not say how the gateway is run`);
  }
  return flags.split(" ");
}

/** A server whose answers are whole, streamed, or not very sure of themselves. */
async function startBackend(): Promise<Server> {
  let answered = 0;
  const server = createServer((req, res) => {
    answered += 1;
    const attempt = req.headers["fieldrack-attempt-id"] ?? "";
    const stream = req.url?.startsWith("/stream/") === true;
    res.writeHead(200, {
      "fieldrack-attempt-id": attempt,
      "fieldrack-server-seal": "warm",
      ...(stream
        ? {
          "content-type": "text/event-stream",
          "fieldrack-confidence": String(answered % 2 === 0 ? 20 : 90),
        }
        : {}),
    });
    if (!stream) return res.end("ok");
    res.write("id: 1\ndata: a\n\n");
    setTimeout(() => res.end("id: 2\ndata: b\n\n"), 10);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

function addressOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function fillStore(store: ObjectStoreStandin, backend: string): void {
  const route = { Hostname: HOST, Service: "warm", MaxAttempts: 3 };
  store.objects.put("config", {
    name: "main",
    spec: {
      Version: 1,
      Routes: [
        { ...route, Name: "a", PathPrefix: "/plain/", RouteType: "idempotent" },
        {
          ...route,
          Name: "b",
          PathPrefix: "/once/",
          RouteType: "non_idempotent",
        },
        {
          ...route,
          Name: "c",
          PathPrefix: "/stream/",
          RouteType: "streaming",
          StreamResumption: true,
          Sizes: ["small", "large"],
          TargetLatencyMs: 1_000,
        },
      ],
      Services: [{
        Name: "warm",
        Engine: {
          Slots: 8,
          KvCapacityTokens: 1_000,
          Models: [{ Name: "small", Cost: 0.1 }, { Name: "large", Cost: 1 }],
        },
      }],
      Tenants: [{ Name: "warm", ApiKeys: [KEY] }],
    },
  });
  for (const name of ["i-1", "i-2"]) {
    store.objects.put("servers", {
      name,
      spec: {
        Service: "warm",
        Address: backend,
        Zone: "north",
        Version: "v1",
        Slots: 8,
        State: "ready",
      },
    });
  }
}

/** A busy machine starts the gateway late. */
async function untilServing(port: number): Promise<void> {
  const untilMs = Date.now() + START_LIMIT_MS;
  while (Date.now() < untilMs) {
    try {
      const res = await request(`http://127.0.0.1:${port}/`);
      await res.body.dump();
      return;
    } catch {
      // It does not listen yet; the limit above ends the wait, and the build says so.
      await pause(POLL_MS);
    }
  }
}

async function sendRequests(port: number): Promise<void> {
  for (let at = 0; at < REQUESTS; at++) {
    for (const path of ["plain", "once", "stream"]) {
      const res = await request(`http://127.0.0.1:${port}/${path}/${at}`, {
        headers: {
          host: HOST,
          authorization: `Bearer ${KEY}`,
          "fieldrack-attempt-id": `${path}-${at}`,
          "fieldrack-deadline-ms": "5000",
          "fieldrack-model": "*",
          "fieldrack-token-usage": "100,10",
          "fieldrack-prefix-hash": "a1:50,b2:50",
        },
      });
      await res.body.dump();
    }
  }
}

await main();
