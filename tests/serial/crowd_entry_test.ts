/** Guards against clients that keep no limits at an entry: they used up its memory and its descriptors. */

import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { once } from "node:events";
import { readdirSync, readFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { after, before, describe, it } from "node:test";
import { Caller } from "../fixtures/caller.ts";
import { Crowd } from "../fixtures/crowd.ts";
import type { CrowdSpec } from "../fixtures/crowd_program.ts";
import {
  head,
  HOST_ONLY,
  LARGE_CHUNK,
  LARGE_CHUNK_BYTES,
  SMALLEST_CHUNK,
} from "../fixtures/crowd_case.ts";
import {
  hashKey,
  type RunningEntry,
  TestFleet,
  until,
} from "../fixtures/test_fleet.ts";

const KEY = "key-of-the-nursery";
const KIB = 1_024;
const MIB = 1_024 * KIB;
const BYTES_PER_MB = 1_000_000;
const HEAP_MB = 75;
const MEMORY_MB = 220;
const MAX_CONNECTIONS = 100;
/** Those of callers, and what is left for other entries, servers and files. */
const MAX_DESCRIPTORS = 300;
const ONE_AFTER_THE_OTHER = { connections: 10, prefix: "", repeat: 50_000 };
const SILENT = {
  connections: 600,
  prefix: "",
  unit: "",
  repeat: 0,
  reconnects: true,
};
const LARGE_RESPONSE = randomBytes(3 * MIB).toString("hex");
const HALF_HEAD = {
  ...SILENT,
  name: "connections with half a head",
  prefix: `GET /readyz HTTP/1.1\r\n${HOST_ONLY}x: `,
  unit: "y",
  repeat: 8 * KIB,
};
const CHUNKED_HEAD = head(
  "POST",
  "/v1/chat/completions",
  `${HOST_ONLY}transfer-encoding: chunked\r\n`,
);

interface EntryCase extends Omit<CrowdSpec, "address"> {
  readonly name: string;
  readonly at: "callers" | "peers" | "operators";
  readonly limits?: Readonly<Record<string, number>>;
}

const CASES: readonly EntryCase[] = [
  {
    name: "bodies in chunks of 1 byte",
    at: "callers",
    connections: 20,
    prefix: CHUNKED_HEAD,
    unit: SMALLEST_CHUNK,
    repeat: MIB - 1,
  },
  {
    ...SILENT,
    name: "large bodies that stop short of their end",
    at: "callers",
    prefix: CHUNKED_HEAD,
    unit: LARGE_CHUNK,
    repeat: MIB / LARGE_CHUNK_BYTES - 1,
    // Less than the bodies of all connections need.
    limits: { max_bodies_bytes: 32 * MIB },
  },
  {
    ...ONE_AFTER_THE_OTHER,
    name: "requests ahead at the path that says ready",
    at: "callers",
    unit: head("GET", "/readyz", HOST_ONLY),
  },
  {
    ...ONE_AFTER_THE_OTHER,
    name: "requests ahead for metrics",
    at: "operators",
    unit: head("GET", "/metrics", HOST_ONLY),
  },
  {
    ...ONE_AFTER_THE_OTHER,
    connections: 100,
    name: "requests ahead of no peer",
    at: "peers",
    unit: head("GET", "/", HOST_ONLY),
  },
  { ...SILENT, name: "connections that say nothing", at: "callers" },
  { ...SILENT, name: "connections that say nothing", at: "peers" },
  { ...SILENT, name: "connections that say nothing", at: "operators" },
  {
    name: "requests ahead for large responses",
    at: "callers",
    connections: 100,
    prefix: "",
    unit: head(
      "GET",
      "/services/films/a",
      `${HOST_ONLY}authorization: Bearer ${KEY}\r\n`,
    ),
    repeat: 10,
    reconnects: true,
    limits: { max_responses_bytes: 24 * MIB, max_unread_bytes: 24 * MIB },
  },
  { ...HALF_HEAD, at: "callers" },
  { ...HALF_HEAD, at: "peers" },
  { ...HALF_HEAD, at: "operators" },
];

/** Returns what the entry has used at most, if that is within its limits. */
function usageWithinLimits({ process: entry }: RunningEntry): string {
  const status = readFileSync(`/proc/${entry.pid}/status`, "utf8");
  const peakKib = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]);
  const peakMb = peakKib * 1_024 / BYTES_PER_MB;
  if (!(peakMb <= MEMORY_MB)) throw new Error(`${peakMb} MB of memory`);
  const descriptors = readdirSync(`/proc/${entry.pid}/fd`).length;
  if (descriptors > MAX_DESCRIPTORS) throw new Error(`${descriptors} open`);
  return `${Math.round(peakMb)} MB at most, ${descriptors} open`;
}

describe("an entry with clients beyond all limits", () => {
  let fleet: TestFleet;
  let films: Server;
  let filmsUrl: string;
  const nodeArgs = process.env.FIELDRACK_NODE_ARGS;

  before(async () => {
    films = createServer((_req, res) => res.end(LARGE_RESPONSE));
    films.listen(0, "127.0.0.1");
    await once(films, "listening");
    filmsUrl = `http://127.0.0.1:${(films.address() as AddressInfo).port}`;
    process.env.FIELDRACK_NODE_ARGS = `--max-old-space-size=${HEAP_MB}`;
  });

  after(() => {
    films.closeAllConnections();
    films.close();
    if (nodeArgs === undefined) delete process.env.FIELDRACK_NODE_ARGS;
    else process.env.FIELDRACK_NODE_ARGS = nodeArgs;
  });

  async function startFleet(limits?: EntryCase["limits"]): Promise<TestFleet> {
    return await TestFleet.start({
      entries: [{ id: "entry-1", data_centre: "qc-hall" }],
      backends: [
        { id: "m-1", data_centre: "qc-hall", version: "m@v1" },
        {
          id: "f-1",
          data_centre: "qc-hall",
          service: "films",
          url: filmsUrl,
        },
      ],
      configuration: {
        accounts: [{
          id: "a",
          keys: [hashKey(KEY)],
          models: ["m"],
          services: ["films"],
        }],
        services: [{
          id: "films",
          routes: [{ path: "/", methods: ["GET"], repeatable: true }],
        }],
        models: [{ id: "m", stable: "v1", versions: [{ id: "v1" }] }],
      },
      settings: {
        limits: {
          max_body_bytes: MIB,
          ...limits,
          max_connections: MAX_CONNECTIONS,
          max_peer_connections: MAX_CONNECTIONS,
        },
      },
    });
  }

  for (const { name, at, limits, ...spec } of CASES) {
    it(`should live and serve others beside ${name} (entry, ${at})`, async (t) => {
      fleet = await startFleet(limits);
      let crowd: Crowd | undefined;
      try {
        const entry = fleet.entry("entry-1");
        const isServed = async () => {
          if (entry.process.hasExited) throw new Error(entry.process.stderr);
          try {
            const { status } = await new Caller(entry.callers, KEY).chat("m");
            return status === 200;
          } catch {
            // The connection was closed in favour of another one.
            return false;
          }
        };
        await until(isServed);
        crowd = new Crowd({ ...spec, address: entry[at] });
        const { open, bytes } = await crowd.settled();
        await until(isServed);
        usageWithinLimits(entry);
        await crowd.disperse();
        await until(isServed);
        const usage = usageWithinLimits(entry);
        t.diagnostic(`${usage}; crowd: ${open} open, ${bytes} B`);
      } finally {
        await crowd?.disperse();
        await fleet.stop();
      }
    });
  }

  it("should deliver a whole large response of a service", async () => {
    fleet = await startFleet();
    try {
      const caller = new Caller(fleet.entry("entry-1").callers, KEY);
      await until(async () =>
        (await caller.call("/services/films/")).status === 200
      );
      const { text } = await caller.call("/services/films/a");
      assert.ok(text === LARGE_RESPONSE);
    } finally {
      await fleet.stop();
    }
  });
});
