import assert from "node:assert/strict";
import { createServer, type OutgoingHttpHeaders, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { InstanceId } from "../core/ids.ts";
import type { ServerNotice } from "../core/servers/server_notice.ts";
import { ServerStallDetector } from "../core/servers/server_stall_detector.ts";
import { SERVER_REPORT_PATH } from "../platform/server_report_wire.ts";
import type { Logger } from "../runtime/logger.ts";
import { ServerProbe } from "./server_probe.ts";

const instance = "i-1" as InstanceId;
const WAITING_ATTEMPT = {
  instance,
  kind: "r/m",
  sentMs: 0,
  targetMs: undefined,
  expectedMs: 10_000,
  byteMs: undefined,
  earliestProbeMs: undefined,
};
const ignoreNotice = () => {};

let server: Server;
let paths: string[];
let nowMs: number;
let serverStallDetector: ServerStallDetector;
let onLogged: () => void;
/** Headers of a 503 response; undefined for a server that responds with 200. */
let headers: OutgoingHttpHeaders | undefined;

function newProbe(): ServerProbe {
  const logger = { info: () => onLogged() } as unknown as Logger;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  return new ServerProbe({ serverStallDetector, clock, logger });
}

/** Probes a server; resolves with what its response says. */
function answerOf(
  probe: ServerProbe,
  address: string,
): Promise<{ notice: ServerNotice; isReport: boolean }> {
  return new Promise((resolve) =>
    probe.ask(
      { instance, address },
      (notice, { isReport }) => resolve({ notice, isReport }),
    )
  );
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

beforeEach(async () => {
  paths = [];
  nowMs = 1_000;
  serverStallDetector = new ServerStallDetector();
  onLogged = () => {};
  headers = undefined;
  server = createServer((req, res) => {
    paths.push(req.url ?? "");
    if (headers !== undefined) res.writeHead(503, headers);
    res.end("{}");
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
});

afterEach(() => {
  server.close();
});

describe("probe of a server that sends nothing", () => {
  it("should count a response as activity of the server", async () => {
    const { port } = server.address() as AddressInfo;
    assert.equal(
      serverStallDetector.detectStall(WAITING_ATTEMPT, 1_000),
      "server_silent",
    );
    newProbe().ask({ instance, address: `127.0.0.1:${port}` }, ignoreNotice);
    await waitUntil(() =>
      serverStallDetector.detectStall(WAITING_ATTEMPT, 1_000) === undefined
    );
    assert.deepEqual(paths, [SERVER_REPORT_PATH]);
  });

  it("should report the status that the server sends along", async () => {
    const { port } = server.address() as AddressInfo;
    const address = `127.0.0.1:${port}`;
    headers = {
      "retry-after": "2",
      "server-leaving": "1",
      "server-limit": "0.5",
      "server-brittle": "3",
    };
    const { notice, isReport } = await answerOf(newProbe(), address);
    assert.deepEqual(notice, {
      restMs: 2_000,
      leaves: true,
      limitPerS: 0.5,
      bearsPerS: 3,
    });
    // Something between may answer so for a server that reads nothing.
    assert.equal(isReport, false);
    headers = undefined;
    assert.equal((await answerOf(newProbe(), address)).isReport, true);
  });

  it("should probe a server at most once per interval", async () => {
    const { port } = server.address() as AddressInfo;
    const probe = newProbe();
    probe.ask({ instance, address: `127.0.0.1:${port}` }, ignoreNotice);
    probe.ask({ instance, address: `127.0.0.1:${port}` }, ignoreNotice);
    nowMs += 500;
    probe.ask({ instance, address: `127.0.0.1:${port}` }, ignoreNotice);
    await waitUntil(() => paths.length === 2);
  });

  it("should not record activity of a server that does not respond", async () => {
    const logged = new Promise<void>((resolve) => {
      onLogged = resolve;
    });
    const { port } = server.address() as AddressInfo;
    await new Promise((resolve) => server.close(resolve));
    newProbe().ask({ instance, address: `127.0.0.1:${port}` }, ignoreNotice);
    await logged;
    assert.equal(
      serverStallDetector.detectStall(WAITING_ATTEMPT, 1_000),
      "server_silent",
    );
  });
});
