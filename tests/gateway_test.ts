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

const NON_IDEMPOTENT_ROUTE = routeWire({
  RouteType: "non_idempotent",
  MaxAttempts: 1,
});

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
  it("should forward a request with the account's name and without its key", async () => {
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

  it("should apply configuration changes, and never revert to an older version", async () => {
    await gateway.start([routeWire()]);
    await gateway.addServer("i-1", answerWhole);
    await untilServed();
    gateway.configure([routeWire({ PathPrefix: "/moved/" })]);
    await untilServed("/moved/1");
    gateway.store.objects.put("config", {
      name: "main",
      spec: { Version: 1, Routes: [routeWire()] },
    });
    await gateway.call("/moved/1");
    assert.equal((await gateway.call("/moved/1")).status, 200);
  });

  it("should keep the last configuration when a new one cannot be parsed", async () => {
    await gateway.start([routeWire()]);
    await gateway.addServer("i-1", answerWhole);
    await untilServed();
    gateway.store.objects.put("config", {
      name: "main",
      spec: { Version: 99, Routes: [{ Name: 5 }] },
    });
    assert.equal((await gateway.call("/stock/1")).status, 200);
  });

  it("should receive changes while watches are stuck", async () => {
    await gateway.start([routeWire()]);
    await gateway.addServer("i-1", answerWhole);
    await untilServed();
    gateway.store.setFaults({ watchesStuck: true });
    gateway.configure([routeWire({ PathPrefix: "/moved/" })]);
    await untilServed("/moved/1");
  });

  it("should refuse requests, reported as not run, once the confirmation of keys expired", async () => {
    await gateway.start([routeWire()], { keyRemovalMs: 1_000 });
    await gateway.addServer("i-1", answerWhole);
    await untilServed();
    gateway.store.setFaults({ down: true });
    await until(async () => (await gateway.call("/stock/1")).status === 503);
    gateway.store.setFaults({});
    await untilServed();
  });

  it("should list again after the store has lost its history", async () => {
    await gateway.start([routeWire()]);
    await gateway.addServer("i-1", answerWhole);
    await untilServed();
    gateway.store.objects.compactHistory();
    gateway.store.objects.wakeWatches();
    gateway.configure([routeWire({ PathPrefix: "/moved/" })]);
    await untilServed("/moved/1");
  });

  it("should send no new requests to a draining server", async () => {
    await gateway.start([routeWire()]);
    const leaving = await gateway.addServer("i-1", answerWhole);
    await untilServed();
    await gateway.addServer("i-2", answerWhole);
    const spec = gateway.store.objects.get("servers", "i-1")?.spec as object;
    gateway.store.objects.put("servers", {
      name: "i-1",
      spec: { ...spec, State: "draining" },
    });
    await until(async () => {
      const before = leaving.requests.length;
      for (let n = 0; n < 8; n++) await gateway.call("/stock/1");
      return leaving.requests.length === before;
    });
  });

  it("should try another server when one did not run the request", async () => {
    await gateway.start([NON_IDEMPOTENT_ROUTE]);
    const full = await gateway.addServer(
      "i-1",
      ({ socket }) => socket.write(notProcessedBytes()),
    );
    await gateway.addServer("i-2", answerWhole);
    // The second server becomes known a moment later; from then on no call may fail.
    await untilServed();
    const before = full.requests.length;
    await until(async () => {
      assert.equal((await gateway.call("/stock/1")).status, 200);
      return full.requests.length > before;
    });
  });

  it("should never retry a non-idempotent request", async () => {
    await gateway.start([NON_IDEMPOTENT_ROUTE]);
    const server = await gateway.addServer("i-1", ({ socket }) => socket.end());
    const other = await gateway.addServer("i-2", ({ socket }) => socket.end());
    await until(async () => (await gateway.call("/stock/1")).status === 502);
    const before = server.requests.length + other.requests.length;
    const answer = await gateway.call("/stock/1");
    assert.equal(answer.status, 502);
    assert.equal(answer.headers["fieldrack-server-seal"], undefined);
    assert.equal(server.requests.length + other.requests.length, before + 1);
  });

  it("should retry an idempotent request on another server", async () => {
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

  it("should answer 504 at the time limit of the route", async () => {
    await gateway.start([routeWire({ TimeoutMs: 300 })]);
    await gateway.addServer("i-1", () => {});
    await until(async () => (await gateway.call("/stock/1")).status === 504);
  });

  it("should resume a stream on another server within the same response", async () => {
    await gateway.start([STREAM_ROUTE]);
    const lastEventIds: string[] = [];
    const answer = ({ socket, text }: RawRequest) => {
      const last = /last-event-id: (\d+)/i.exec(text)?.[1];
      lastEventIds.push(last ?? "first");
      if (last === undefined) {
        // The second event is incomplete and must not reach the client.
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
    assert.deepEqual(lastEventIds.slice(-2), ["first", "1"]);
  });

  it("should abort a stream that cannot be resumed, so that it does not look complete", async () => {
    await gateway.start([routeWire({ RouteType: "streaming" })]);
    await gateway.addServer("i-1", ({ socket }) => {
      socket.write(streamBytes("id: 1\ndata: a\n\n"));
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    await until(() =>
      gateway.call("/stock/1").then(({ status }) => status !== 200, () => true)
    );
  });

  it("should escalate to the largest model when the smallest has low confidence", async () => {
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

  it("should close the server's connection when the client disconnects", async () => {
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
      // The client's own timeout closes its connection in the middle of the stream.
      await gateway.call("/stock/1", { waitMs: 200 }).catch(() => undefined);
      return closed > 0;
    });
  });
});
