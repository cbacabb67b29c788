import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { RawRequest } from "./fixtures/raw_server.ts";
import {
  answerBytes,
  chunkBytes,
  HOST,
  notProcessedBytes,
  routeWire,
  STREAM_ROUTE,
  streamBytes,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

const ONCE = routeWire({ RouteType: "non_idempotent", MaxAttempts: 1 });

let gateway: TestGateway;

beforeEach(() => {
  gateway = new TestGateway();
});

afterEach(() => gateway.stop());

/** Waits until the gateway has servers to send requests to. */
async function untilServed(path = "/stock/warm"): Promise<void> {
  await until(async () => (await gateway.call(path)).status === 200);
}

const answerWhole = ({ socket }: RawRequest) => socket.write(answerBytes());

describe("gateway", () => {
  it("should pass a request on with the account's name and without its key", async () => {
    await gateway.start([routeWire()]);
    const server = await gateway.addServer("i-1", answerWhole);
    await untilServed();
    const answer = await gateway.call("/stock/a%2fb?c=1");
    assert.equal(answer.body, "ok");
    assert.equal(answer.headers["fieldrack-server-seal"], "s");
    const text = server.requests.at(-1)?.text ?? "";
    assert.match(text, /^GET \/stock\/a%2fb\?c=1 HTTP/);
    assert.match(text, /fieldrack-tenant: garden/i);
    assert.match(text, /fieldrack-expect-instance: i-1/i);
    assert.match(text, new RegExp(`host: ${HOST}`, "i"));
    assert.doesNotMatch(text, /authorization/i);
  });

  it("should refuse unknown keys, unknown paths and paths without a server", async () => {
    await gateway.start([routeWire()]);
    assert.equal((await gateway.call("/stock/1", { key: "no" })).status, 401);
    assert.equal((await gateway.call("/other/1")).status, 404);
    const answer = await gateway.call("/stock/1");
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers["retry-after"]) > 0);
  });

  it("should follow changes of the configuration, and never go back", async () => {
    await gateway.start([routeWire()]);
    await gateway.addServer("i-1", answerWhole);
    await untilServed();
    gateway.configure([routeWire({ PathPrefix: "/moved/" })]);
    await untilServed("/moved/1");
    gateway.store.kinds.put("config", {
      name: "main",
      spec: { Version: 1, Routes: [routeWire()] },
    });
    await gateway.call("/moved/1");
    assert.equal((await gateway.call("/moved/1")).status, 200);
  });

  it("should keep the last configuration where a new one is not understood", async () => {
    await gateway.start([routeWire()]);
    await gateway.addServer("i-1", answerWhole);
    await untilServed();
    gateway.store.kinds.put("config", {
      name: "main",
      spec: { Version: 99, Routes: [{ Name: 5 }] },
    });
    assert.equal((await gateway.call("/stock/1")).status, 200);
  });

  it("should learn of changes although watches hear nothing", async () => {
    await gateway.start([routeWire()]);
    await gateway.addServer("i-1", answerWhole);
    await untilServed();
    gateway.store.setFaults({ watchesStuck: true });
    gateway.configure([routeWire({ PathPrefix: "/moved/" })]);
    await untilServed("/moved/1");
  });

  it("should refuse keys, as not run, once nothing confirms them any more", async () => {
    await gateway.start([routeWire()], { keyRemovalMs: 1_000 });
    await gateway.addServer("i-1", answerWhole);
    await untilServed();
    gateway.store.setFaults({ down: true });
    await until(async () => (await gateway.call("/stock/1")).status === 503);
    gateway.store.setFaults({});
    await untilServed();
  });

  it("should list again after the store has forgotten its history", async () => {
    await gateway.start([routeWire()]);
    await gateway.addServer("i-1", answerWhole);
    await untilServed();
    gateway.store.kinds.forgetHistory();
    gateway.store.kinds.releaseWatches();
    gateway.configure([routeWire({ PathPrefix: "/moved/" })]);
    await untilServed("/moved/1");
  });

  it("should give no new work to a server that is leaving", async () => {
    await gateway.start([routeWire()]);
    const leaving = await gateway.addServer("i-1", answerWhole);
    await untilServed();
    await gateway.addServer("i-2", answerWhole);
    const spec = gateway.store.kinds.get("servers", "i-1")?.spec as object;
    gateway.store.kinds.put("servers", {
      name: "i-1",
      spec: { ...spec, State: "draining" },
    });
    await until(async () => {
      const before = leaving.requests.length;
      for (let n = 0; n < 8; n++) await gateway.call("/stock/1");
      return leaving.requests.length === before;
    });
  });

  it("should ask another server where one did not run the request", async () => {
    await gateway.start([ONCE]);
    const full = await gateway.addServer(
      "i-1",
      ({ socket }) => socket.write(notProcessedBytes()),
    );
    await gateway.addServer("i-2", answerWhole);
    // The second server is learnt a moment later; from then on no call may fail.
    await untilServed();
    const before = full.requests.length;
    await until(async () => {
      assert.equal((await gateway.call("/stock/1")).status, 200);
      return full.requests.length > before;
    });
  });

  it("should never send a request again that may run only once", async () => {
    await gateway.start([ONCE]);
    const server = await gateway.addServer("i-1", ({ socket }) => socket.end());
    const other = await gateway.addServer("i-2", ({ socket }) => socket.end());
    await until(async () => (await gateway.call("/stock/1")).status === 502);
    const before = server.requests.length + other.requests.length;
    const answer = await gateway.call("/stock/1");
    assert.equal(answer.status, 502);
    assert.equal(answer.headers["fieldrack-server-seal"], undefined);
    assert.equal(server.requests.length + other.requests.length, before + 1);
  });

  it("should repeat what may be repeated, on another server", async () => {
    await gateway.start([routeWire()]);
    const failing = await gateway.addServer("i-1", ({ socket }) => {
      socket.write(answerBytes({ status: "500 Internal Server Error" }));
    });
    await gateway.addServer("i-2", answerWhole);
    await untilServed();
    await until(async () => {
      assert.equal((await gateway.call("/stock/1")).status, 200);
      return failing.requests.length > 0;
    });
  });

  it("should answer at the time limit of the route, and not say that nothing ran", async () => {
    await gateway.start([routeWire({ TimeoutMs: 300 })]);
    await gateway.addServer("i-1", () => {});
    await until(async () => (await gateway.call("/stock/1")).status === 504);
  });

  it("should go on with a stream on another server inside the same answer", async () => {
    await gateway.start([STREAM_ROUTE]);
    const answered: string[] = [];
    const answer = ({ socket, text }: RawRequest) => {
      const last = /last-event-id: (\d+)/i.exec(text)?.[1];
      answered.push(last ?? "first");
      if (last === undefined) {
        // The second event is cut short, and so must not reach the caller.
        socket.write(streamBytes("id: 1\ndata: a\n\nid: 2\nda"));
        setTimeout(() => socket.resetAndDestroy(), 20);
        return;
      }
      socket.write(streamBytes("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    };
    await gateway.addServer("i-1", answer);
    await gateway.addServer("i-2", answer);
    await untilServed();
    const stream = await gateway.call("/stock/1");
    assert.equal(stream.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert.deepEqual(answered.slice(-2), ["first", "1"]);
  });

  it("should cut a stream that cannot go on, so that it does not look whole", async () => {
    await gateway.start([routeWire({ RouteType: "streaming" })]);
    await gateway.addServer("i-1", ({ socket }) => {
      socket.write(streamBytes("id: 1\ndata: a\n\n"));
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    await until(() =>
      gateway.call("/stock/1").then(({ status }) => status !== 200, () => true)
    );
  });

  it("should ask the largest model where the smallest is not sure", async () => {
    await gateway.start([
      routeWire({
        ...STREAM_ROUTE,
        Sizes: ["m0", "m1", "m2"],
        TargetLatencyMs: 2_000,
      }),
    ]);
    const answer = ({ socket, text }: RawRequest) => {
      const model = /fieldrack-model: (\S+)/i.exec(text)?.[1] ?? "";
      const confidence = model === "m0" ? 10 : 90;
      const whole = streamBytes(`id: 1\ndata: ${model}\n\n`).replace(
        "Content-Type",
        `Fieldrack-Confidence: ${confidence}\r\nContent-Type`,
      );
      socket.write(whole + "0\r\n\r\n");
    };
    await gateway.addServer("i-1", answer);
    const ask = () =>
      gateway.call("/stock/1", { headers: { "fieldrack-model": "*" } });
    await until(async () => (await ask()).status === 200);
    assert.match((await ask()).body, /data: m2/);
  });

  it("should stop a server's work when the caller leaves", async () => {
    await gateway.start([STREAM_ROUTE]);
    let closed = 0;
    await gateway.addServer("i-1", ({ socket }) => {
      socket.write(streamBytes("id: 1\ndata: a\n\n"));
      socket.once("close", () => closed += 1);
      const timer = setInterval(
        () => socket.write(chunkBytes("id: 2\ndata: b\n\n")),
        50,
      );
      socket.once("close", () => clearInterval(timer));
    });
    await until(async () => {
      // The caller's own time-out ends its connection in the middle of the stream.
      await gateway.call("/stock/1", { waitMs: 200 }).catch(() => undefined);
      return closed > 0;
    });
  });
});
