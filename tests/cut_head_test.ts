/**
 * Guards against a response whose head ends in its midst, as its server stops and closes, and that
 * reaches a client as a complete one with an empty or short body.
 */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import { EarlyServer } from "./fixtures/early_server.ts";
import { GatewayFleet } from "./fixtures/gateway_fleet.ts";
import { type RawRequest, RawServer } from "./fixtures/raw_server.ts";
import { READERS } from "./fixtures/response_readers.ts";
import {
  answerBytes,
  ATTEMPT,
  chunkBytes,
  routeWire,
  serverWire,
  STREAM_ROUTE,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

/** Number of places at which each head is cut. */
const CUTS = 16;
const BAD_GATEWAY = 502;
const SEALED =
  `Fieldrack-Attempt-Id: ${ATTEMPT}\r\nFieldrack-Server-Seal: s\r\n`;

/** Heads of responses, by the framing of their bodies. */
const HEADS: Readonly<Record<string, string>> = {
  "with a length": `HTTP/1.1 200 OK\r\n${SEALED}Content-Length: 2\r\n\r\n`,
  "with a length first":
    `HTTP/1.1 200 OK\r\nContent-Length: 0\r\n${SEALED}X-Last: 1\r\n\r\n`,
  "in chunks": `HTTP/1.1 200 OK\r\n${SEALED}Transfer-Encoding: chunked\r\n\r\n`,
  "without an end mark":
    `HTTP/1.1 200 OK\r\n${SEALED}Connection: close\r\n\r\n`,
  "of HTTP/1.0": `HTTP/1.0 200 OK\r\n${SEALED}Content-Length: 2\r\n\r\n`,
};
const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  "an orderly end": (socket) => socket.end(),
  "a reset": (socket) => socket.resetAndDestroy(),
};

/** Beginnings of a head, the longest one byte short of it. */
function cutsOf(head: string): string[] {
  const cuts = Array.from(
    { length: CUTS },
    (_, n) => head.slice(0, Math.ceil(((n + 1) * (head.length - 4)) / CUTS)),
  );
  return [...cuts, head.slice(0, -3), head.slice(0, -2), head.slice(0, -1)];
}

function cutHead(text: string, end: (socket: Socket) => void) {
  return (socket: Socket) => {
    socket.write(text, () => end(socket));
  };
}

describe("a response whose head ends in its midst", () => {
  let gateway: TestGateway;
  let server: RawServer;
  let respond: ((socket: Socket) => void) | undefined;
  const cutConnections: number[] = [];

  before(async () => {
    server = new RawServer(({ text, socket, connection }) => {
      if (respond === undefined || text.startsWith("GET /-/")) {
        socket.write(answerBytes());
        return;
      }
      cutConnections.push(connection);
      respond(socket);
    });
    const address = await server.listen();
    gateway = new TestGateway();
    await gateway.start([
      routeWire({ Name: "r-once", RouteType: "non_idempotent" }),
      // Idempotent requests use connections again.
      routeWire({ Name: "r-many", PathPrefix: "/many/", MaxAttempts: 1 }),
    ]);
    gateway.store.objects.put("servers", {
      name: "faulty",
      spec: serverWire(address),
    });
    await until(async () => (await gateway.call("/stock/1")).status === 200);
  });

  after(async () => {
    await gateway.stop();
    await server.close();
  });

  /** Calls until the server has cut a response; returns that one's status. */
  async function statusOfCut(path: string, options = {}): Promise<number> {
    const before = cutConnections.length;
    // A server that fails often gets no requests for a while.
    for (;;) {
      const { status } = await gateway.call(path, options);
      if (cutConnections.length > before) return status;
    }
  }

  for (const [form, head] of Object.entries(HEADS)) {
    for (const [how, end] of Object.entries(ENDS)) {
      it(`should fail at a gateway: ${form}, by ${how}`, async () => {
        for (const text of cutsOf(head)) {
          respond = cutHead(text, end);
          assert.equal(await statusOfCut("/stock/1"), BAD_GATEWAY, text);
        }
        respond = undefined;
      });

      it(`should fail at a gateway on a connection that is used again: ${form}, by ${how}`, async () => {
        let reused = 0;
        for (const text of cutsOf(head)) {
          respond = undefined;
          await until(async () =>
            (await gateway.call("/many/1")).status === 200
          );
          const known = server.requests.at(-1)?.connection;
          respond = cutHead(text, end);
          assert.equal(await statusOfCut("/many/1"), BAD_GATEWAY, text);
          if (cutConnections.at(-1) === known) reused += 1;
        }
        respond = undefined;
        assert.ok(reused > 0);
      });
    }
  }

  for (const [name, reader] of Object.entries(READERS)) {
    for (const [how, end] of Object.entries(ENDS)) {
      it(`should not be taken for complete by ${how}: ${name}`, async () => {
        const complete: string[] = [];
        for (const head of Object.values(HEADS)) {
          for (const text of cutsOf(head)) {
            const early = new EarlyServer(cutHead(text, end));
            if (await reader.read(await early.listen())) complete.push(text);
            await early.close();
          }
        }
        assert.deepEqual(complete, []);
      });
    }
  }
});

describe("a stream that is resumed at a server whose head ends in its midst", () => {
  const STREAM_HEAD = `HTTP/1.1 200 OK\r\n${SEALED}` +
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  const FIRST_EVENT = "id: 1\ndata: a\n\n";

  for (const [how, end] of Object.entries(ENDS)) {
    it(`should not look complete, by ${how}`, async () => {
      const gateway = new TestGateway();
      let cut = STREAM_HEAD;
      let resumed = 0;
      const answer = ({ text, socket }: RawRequest) => {
        if (text.startsWith("GET /-/")) return socket.write(answerBytes());
        if (/^last-event-id: 1\r$/im.test(text)) {
          resumed += 1;
          return cutHead(cut, end)(socket);
        }
        socket.write(STREAM_HEAD + chunkBytes(FIRST_EVENT), () => socket.end());
      };
      for (const name of ["i-1", "i-2"]) await gateway.addServer(name, answer);
      await gateway.start([STREAM_ROUTE]);
      try {
        for (const text of cutsOf(STREAM_HEAD)) {
          cut = text;
          const before = resumed;
          while (resumed === before) {
            const whole = await gateway.call("/stock/1").then(
              ({ status }) => status === 200,
              () => false,
            );
            assert.equal(whole, false, text);
          }
        }
      } finally {
        await gateway.stop();
      }
    });
  }
});

describe("a response that another VM forwards, whose head ends in its midst", () => {
  const VMS = 3;
  const CUT = "edge-2";
  const ROUTES = [routeWire({ RouteType: "non_idempotent" })];

  it("should fail at the caller", async () => {
    const fleet = new GatewayFleet(ROUTES, {}, { cuttable: true });
    let respond: ((socket: Socket) => void) | undefined;
    let cutResponses = 0;
    await fleet.addServer("i-1", ({ text, socket }) => {
      if (respond === undefined || text.startsWith("GET /-/")) {
        socket.write(answerBytes());
        return;
      }
      cutResponses += 1;
      respond(socket);
    });
    await fleet.start(VMS);
    try {
      for (const vm of fleet.vms) {
        await until(async () =>
          (await fleet.call(vm, "/stock/1")).status === 200
        );
        await until(async () => await fleet.countAdvertising(vm) === VMS - 1);
      }
      await fleet.cutServers(CUT, "reset");
      await until(async () =>
        (await fleet.call(CUT, "/stock/1")).status === 200
      );
      for (const [form, head] of Object.entries(HEADS)) {
        for (const end of Object.values(ENDS)) {
          for (const text of [head.slice(0, 20), head.slice(0, -2)]) {
            respond = cutHead(text, end);
            const before = cutResponses;
            while (cutResponses === before) {
              const { status } = await fleet.call(CUT, "/stock/1");
              if (cutResponses > before) {
                assert.equal(status, BAD_GATEWAY, `${form}: ${text}`);
              }
            }
          }
        }
      }
    } finally {
      await fleet.stop();
    }
  });
});
