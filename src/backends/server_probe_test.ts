import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { InstanceId } from "../core/ids.ts";
import { SilenceWatch } from "../core/servers/silence.ts";
import { SERVER_REPORT_PATH } from "../platform/server_report_wire.ts";
import type { Logger } from "../runtime/logger.ts";
import { ServerProbe } from "./server_probe.ts";

const instance = "i-1" as InstanceId;
const WAITING = {
  instance,
  kind: "r/m",
  sentMs: 0,
  targetMs: undefined,
  expectedMs: 10_000,
  byteMs: undefined,
};

let server: Server;
let paths: string[];
let nowMs: number;
let silenceWatch: SilenceWatch;
let warned: () => void;

function newProbe(): ServerProbe {
  const logger = { info: () => warned() } as unknown as Logger;
  const clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
  return new ServerProbe({ silenceWatch, clock, logger });
}

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise((resolve) => setTimeout(resolve, 5));
}

beforeEach(async () => {
  paths = [];
  nowMs = 1_000;
  silenceWatch = new SilenceWatch();
  warned = () => {};
  server = createServer((req, res) => {
    paths.push(req.url ?? "");
    res.end("{}");
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
});

afterEach(() => {
  server.close();
});

describe("probe of a quiet server", () => {
  it("should count an answer as a sign of life", async () => {
    const { port } = server.address() as AddressInfo;
    assert.equal(silenceWatch.judge(WAITING, 1_000), "server_silent");
    newProbe().ask(instance, `127.0.0.1:${port}`);
    await until(() => silenceWatch.judge(WAITING, 1_000) === undefined);
    assert.deepEqual(paths, [SERVER_REPORT_PATH]);
  });

  it("should not ask a server again and again", async () => {
    const { port } = server.address() as AddressInfo;
    const probe = newProbe();
    probe.ask(instance, `127.0.0.1:${port}`);
    probe.ask(instance, `127.0.0.1:${port}`);
    nowMs += 500;
    probe.ask(instance, `127.0.0.1:${port}`);
    await until(() => paths.length === 2);
  });

  it("should leave a server silent that does not answer", async () => {
    const told = new Promise<void>((resolve) => {
      warned = resolve;
    });
    const { port } = server.address() as AddressInfo;
    await new Promise((resolve) => server.close(resolve));
    newProbe().ask(instance, `127.0.0.1:${port}`);
    await told;
    assert.equal(silenceWatch.judge(WAITING, 1_000), "server_silent");
  });
});
