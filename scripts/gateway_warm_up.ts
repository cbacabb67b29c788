/**
 * Runs the bundled gateway briefly against stand-ins, so that V8 compiles the functions that handle
 * requests and digests, and makes it write the V8 code cache.
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

/** Requests for each path; V8 caches the code of any function that was called at least once. */
const REQUESTS_PER_PATH = 12;
/** Time for the gateways to discover each other and to exchange some digests. */
const DISCOVERY_MS = 2_000;
/** Maximum time to wait until the gateway accepts connections. */
const START_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;
const HOSTNAME = "warm.example";
const API_KEY = "warm-key";
/** Memory of a VM that is not small. */
const LARGE_VM_MB = 1_000;
/** Listening addresses of one gateway: callers, readiness, other VMs, and address lists. */
const LISTENERS_PER_GATEWAY = 4;

const folder = process.argv[2] ?? "target";
const DEPLOY_FILE = "deploy/system.toml";

async function main(): Promise<void> {
  const store = new ObjectStoreStandin();
  const storeAddress = await store.listen();
  const backend = await startBackend();
  fillStore(store, addressOf(backend));
  const allPorts = await reservePorts(2 * LISTENERS_PER_GATEWAY);
  const ports = allPorts.slice(0, LISTENERS_PER_GATEWAY);
  const peerPorts = allPorts.slice(LISTENERS_PER_GATEWAY);
  const peer = await startPeer(storeAddress, {
    ports: peerPorts,
    seeds: ports,
  });
  const child = startChild(storeAddress, { ports, seeds: peerPorts });
  await waitUntilServing(ports[0] as number);
  await pause(DISCOVERY_MS);
  await sendRequests(ports[0] as number);
  child.stdin?.end("write");
  const [code] = await once(child, "exit");
  await peer.stop();
  backend.closeAllConnections();
  backend.close();
  await store.close();
  process.exit(code as number ?? 1);
}

/** Reserves free ports from the operating system, since several builds may run concurrently. */
async function reservePorts(count: number): Promise<number[]> {
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

function gatewaySettings(
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
    // On a small VM the gateway would change a flag, and V8 rejects a code cache of other flags.
    Limits: { MemoryMb: LARGE_VM_MB },
    Platform: { Address: store },
  });
}

async function startPeer(
  store: string,
  at: { ports: number[]; seeds: number[] },
): Promise<GatewayProcess> {
  const settings = decodeVmSettings(gatewaySettings(store, at));
  if (!settings.ok) throw new Error("VM settings for warm-up are invalid");
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
  writeFileSync(path, gatewaySettings(store, at));
  return spawn(
    process.execPath,
    [...deployedFlags(), `${folder}/gateway.cjs`, "--write-code"],
    {
      stdio: ["pipe", "ignore", "inherit"],
      env: { ...process.env, FIELDRACK_SETTINGS: path },
    },
  );
}

/** Node.js flags of the deployed gateway: V8 rejects a code cache that was written with other flags. */
function deployedFlags(): string[] {
  const [, flags] = /^run = "node (.*) target\/gateway\.cjs"$/m.exec(
    readFileSync(DEPLOY_FILE, "utf8"),
  ) ?? [];
  if (flags === undefined) {
    throw new Error(
      `${DEPLOY_FILE} has no run line of the form "node ... target/gateway.cjs"`,
    );
  }
  return flags.split(" ");
}

/** Starts a backend server that sends plain and streamed responses, half of the latter with low confidence. */
async function startBackend(): Promise<Server> {
  let requestCount = 0;
  const server = createServer((req, res) => {
    requestCount += 1;
    const attempt = req.headers["fieldrack-attempt-id"] ?? "";
    const stream = req.url?.startsWith("/stream/") === true;
    res.writeHead(200, {
      "fieldrack-attempt-id": attempt,
      "fieldrack-server-seal": "warm",
      ...(stream
        ? {
          "content-type": "text/event-stream",
          "fieldrack-confidence": String(requestCount % 2 === 0 ? 20 : 90),
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
  const route = { Hostname: HOSTNAME, Service: "warm", MaxAttempts: 3 };
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
      Tenants: [{ Name: "warm", ApiKeys: [API_KEY] }],
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

/** Waits until the gateway accepts connections, which can take long on a busy machine. */
async function waitUntilServing(port: number): Promise<void> {
  const deadlineMs = Date.now() + START_TIMEOUT_MS;
  while (Date.now() < deadlineMs) {
    try {
      const res = await request(`http://127.0.0.1:${port}/`);
      await res.body.dump();
      return;
    } catch {
      // Not listening yet. If this still holds after START_TIMEOUT_MS, the warm-up requests fail, and the build reports it.
      await pause(POLL_INTERVAL_MS);
    }
  }
}

async function sendRequests(port: number): Promise<void> {
  for (let index = 0; index < REQUESTS_PER_PATH; index++) {
    for (const path of ["plain", "once", "stream"]) {
      const res = await request(`http://127.0.0.1:${port}/${path}/${index}`, {
        headers: {
          host: HOSTNAME,
          authorization: `Bearer ${API_KEY}`,
          "fieldrack-attempt-id": `${path}-${index}`,
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
