/**
 * Guards against a part of a response that a reader takes for all of it: the HTTP client reported a
 * reset as the regular end of a body without a length, so that each reader but the gateway's passed on
 * or acted on what it had received until then.
 */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { HttpModelServers } from "../src/backends/http_model_servers.ts";
import { HttpPlainServices } from "../src/backends/http_plain_services.ts";
import { ResponseMemory } from "../src/backends/response_limits.ts";
import { ServerIncarnationCheck } from "../src/backends/server_incarnation_check.ts";
import { ServerProbe } from "../src/backends/server_probe.ts";
import { fetchStatus } from "../src/cli/operator_client.ts";
import type { BackendServer } from "../src/core/config/configuration.ts";
import type { RequestId } from "../src/core/ids.ts";
import { ServerStallDetector } from "../src/core/servers/server_stall_detector.ts";
import { VmClients } from "../src/fleet/vm_clients.ts";
import { HttpObjectStore } from "../src/platform/http_object_store.ts";
import { HttpPlatform } from "../src/platform/http_platform.ts";
import { SystemClock } from "../src/runtime/clock.ts";
import { Deadline } from "../src/runtime/deadline.ts";
import { HttpAgent } from "../src/runtime/http_agent.ts";
import { SilentLogger } from "../src/runtime/logger.ts";
import { EarlyServer } from "./fixtures/early_server.ts";
import { serverRecord } from "./fixtures/server_record.ts";

const MIB = 1_024 * 1_024;
const TIMEOUT_MS = 10_000;
const REQUEST = "r" as RequestId;
const BORN_MS = 1_234;
const RESET_DELAYS_MS = [0, 2, 50];
/** The outcome depends on the order in which the kernel reports the reset. */
const PLAYS = 4;

interface Reader {
  readonly body: string;
  /** Asks the server at an address; returns whether the reader took its response for complete. */
  read(address: string): Promise<boolean>;
}

function withAgent<T>(use: (agent: HttpAgent) => Promise<T>): Promise<T> {
  const agent = new HttpAgent();
  return use(agent).finally(() => agent.destroy());
}

function plainService(upload: Uint8Array | undefined): Reader {
  return {
    body: "p".repeat(3 * 1_024),
    read: (address) =>
      withAgent(async (agent) => {
        const deadline = new Deadline(TIMEOUT_MS);
        const services = new HttpPlainServices(agent, new ResponseMemory(MIB));
        const res = await services.call({
          server: { url: `http://${address}` } as BackendServer,
          requestId: REQUEST,
          method: upload === undefined ? "GET" : "POST",
          path: "/",
          headers: {},
          body: upload,
          deadline,
        });
        deadline.close();
        return res.ok;
      }),
  };
}

const READERS: Readonly<Record<string, Reader>> = {
  "a plain service": plainService(undefined),
  "a plain service that gets an upload": plainService(Buffer.alloc(4 * MIB)),
  "a model server": {
    body: `{"id":"${REQUEST}","choices":[{"message":{"content":"a"}}]}`,
    read: (address) =>
      withAgent(async (agent) => {
        const deadline = new Deadline(TIMEOUT_MS);
        const res = await new HttpModelServers(agent).chat({
          server: { url: `http://${address}` } as BackendServer,
          requestId: REQUEST,
          body: "{}",
          priority: "standard",
          deadline,
        });
        deadline.close();
        return res.ok;
      }),
  },
  "the load report of a model server": {
    body: '{"running":1,"waiting":2}',
    read: (address) =>
      withAgent(async (agent) => {
        const server = { url: `http://${address}` } as BackendServer;
        return (await new HttpModelServers(agent).load(server)).ok;
      }),
  },
  "the store": {
    body: '{"Metadata":{"Name":"a","Revision":1},"Spec":1,"Status":2}',
    read: async (address) => {
      const store = new HttpObjectStore(address);
      const key = { kind: "things", name: "a" };
      const res = await store.get(key, { timeoutMs: TIMEOUT_MS });
      await store.close();
      return res.ok;
    },
  },
  "the platform of the entries": {
    body: '{"key":"a","version":1,"value":"b"}',
    read: async (address) => {
      const platform = new HttpPlatform({
        url: `http://${address}`,
        timeoutMs: TIMEOUT_MS,
      });
      const res = await platform.get("a");
      await platform.close();
      return res.ok;
    },
  },
  "another VM": {
    body: '{"result":{"data":12}}',
    read: async (address) => {
      const clients = new VmClients();
      const res = await clients.call<unknown>(address, {
        timeoutMs: TIMEOUT_MS,
        invoke: (client, signal) =>
          client.feed.mutate({ kinds: [] } as never, { signal }),
      });
      await clients.close();
      return res.ok;
    },
  },
  "the report of a server": {
    body: `{"born":${BORN_MS}}`,
    read: (address) =>
      new ServerIncarnationCheck({ logger: new SilentLogger() })
        .isSame(serverRecord("i-1", { address, bornMs: BORN_MS })),
  },
  "the probe of a server": {
    body: "{}",
    read: (address) =>
      new Promise((resolve) => {
        const serverStallDetector = new ServerStallDetector();
        serverStallDetector.recordActivity = () => resolve(true);
        const logger = new SilentLogger();
        logger.info = () => resolve(false);
        new ServerProbe({
          serverStallDetector,
          clock: new SystemClock(),
          logger,
        }).ask(serverRecord("i-1", { address }), () => {});
      }),
  },
  "the status of an entry": {
    body:
      '{"entry":"e","data_centre":"d","revision":0,"in_flight":0,"members":[]}',
    read: async (address) => (await fetchStatus(address)).ok,
  },
};

/** Lets a reader ask a server that responds without a length; returns what the reader makes of it. */
async function play(
  { body, read }: Reader,
  end: (socket: Socket) => void,
): Promise<boolean> {
  const server = new EarlyServer((socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`);
    end(socket);
  });
  try {
    return await read(await server.listen());
  } finally {
    await server.close();
  }
}

describe("a response without a length", () => {
  for (const [name, reader] of Object.entries(READERS)) {
    it(`should not be taken for complete after a reset: ${name}`, async () => {
      const complete: string[] = [];
      for (const delayMs of RESET_DELAYS_MS) {
        for (let count = 0; count < PLAYS; count++) {
          const isComplete = await play(reader, (socket) => {
            if (delayMs === 0) socket.resetAndDestroy();
            else setTimeout(() => socket.resetAndDestroy(), delayMs);
          });
          if (isComplete) complete.push(`reset after ${delayMs} ms`);
        }
      }
      assert.deepEqual(complete, []);
    });

    it(`should be taken for complete after a proper end: ${name}`, async () => {
      const isComplete = await play(reader, (socket) => {
        // Reads the rest of an upload first.
        socket.resume();
        setTimeout(() => socket.end(), RESET_DELAYS_MS.at(-1));
      });
      assert.equal(isComplete, true);
    });
  }
});
