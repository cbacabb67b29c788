import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { text } from "node:stream/consumers";
import { afterEach, describe, it } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import {
  type CloseReason,
  ConnectionGuard,
  type ConnectionLimits,
} from "./connection_guard.ts";

const HEAD = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const NO_LIMITS = { maxConnections: Infinity, maxBytesAhead: Infinity };

interface Guarded {
  readonly guard: ConnectionGuard;
  readonly closed: CloseReason[];
  open(): Promise<Socket>;
}

let server: Server;
const sockets: Socket[] = [];

async function start(
  limits: Partial<ConnectionLimits>,
  listener: RequestListener,
): Promise<Guarded> {
  const closed: CloseReason[] = [];
  server = createServer(listener);
  const guard = new ConnectionGuard(server, {
    ...NO_LIMITS,
    ...limits,
    onClosed: (reason) => closed.push(reason),
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const open = async () => {
    const socket = connect(port, "127.0.0.1");
    sockets.push(socket);
    socket.on("error", () => {});
    await once(socket, "connect");
    return socket;
  };
  return { guard, closed, open };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await pause(5);
}

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  server.closeAllConnections();
  server.close();
});

describe("ConnectionGuard", () => {
  // Guards against a request, a response and log lines for each of thousands of requests in one read.
  it("should have the next request parsed once the previous response is finished", async () => {
    const begun: string[] = [];
    const finish: (() => void)[] = [];
    const { open } = await start({}, (req, res) => {
      begun.push(req.url ?? "");
      finish.push(() => res.end("ok"));
    });
    const socket = await open();
    const requests = [1, 2, 3].map((n) => HEAD.replace("/", `/${n}`));
    socket.write(requests.join(""));
    for (let n = 1; n <= 3; n++) {
      await until(() => begun.length === n);
      await pause(20);
      assert.equal(begun.length, n);
      finish[n - 1]?.();
    }
    assert.deepEqual(begun, ["/1", "/2", "/3"]);
  });

  it("should notice a client that leaves while its request is under way", async () => {
    let isGone = false;
    const { open } = await start({}, (_req, res) => {
      res.on("close", () => isGone = true);
    });
    const socket = await open();
    socket.write(HEAD);
    await pause(20);
    socket.destroy();
    await until(() => isGone);
  });

  it("should close the connection that has waited longest if there are too many", async () => {
    const { guard, closed, open } = await start(
      { maxConnections: 3 },
      (_req, res) => res.end("ok"),
    );
    const served = await open();
    await open();
    await open();
    served.write(HEAD);
    await once(served, "data");
    const [, second, third] = sockets;
    const newest = await open();
    await once(second as Socket, "close");
    assert.deepEqual(closed, ["connections"]);
    assert.equal(guard.connections, 3);
    assert.ok(!served.closed && !third?.closed);
    newest.write(HEAD);
    await once(newest, "data");
  });

  it("should never close a connection whose request is being answered for a new one", async () => {
    const { guard, open } = await start({ maxConnections: 2 }, () => {});
    const busy = [await open(), await open()];
    for (const socket of busy) socket.write(HEAD);
    await pause(50);
    const newest = await open();
    newest.resume();
    await once(newest, "close");
    assert.equal(guard.connections, 2);
    assert.ok(busy.every((socket) => !socket.closed));
  });

  it("should answer the request under way, and no further one, if too much was sent ahead", async () => {
    let requests = 0;
    const { guard, closed, open } = await start(
      { maxBytesAhead: 10_000 },
      (_req, res) => {
        requests += 1;
        setTimeout(() => res.end("ok"), 50);
      },
    );
    const socket = await open();
    socket.write(HEAD.repeat(1_000));
    const answer = await text(socket);
    assert.equal(answer.match(/HTTP\/1.1 200/g)?.length, 1);
    assert.equal(requests, 1);
    assert.deepEqual(closed, ["bytes_ahead"]);
    await until(() => guard.bytesAhead === 0);
  });

  // Guards against heads that stop short of their end, whose sum had no limit.
  it("should close the oldest connections with an incomplete head if heads take too much", async () => {
    const { guard, closed, open } = await start(
      { maxBytesAhead: 10_000 },
      () => {},
    );
    const heads = await Promise.all([1, 2, 3, 4].map(() => open()));
    for (const socket of heads) {
      socket.write(`GET / HTTP/1.1\r\nx: ${"y".repeat(4_000)}`);
      await pause(20);
    }
    await until(() => heads.filter(({ closed }) => closed).length === 2);
    assert.deepEqual(closed, ["bytes_ahead", "bytes_ahead"]);
    assert.ok(guard.bytesAhead > 8_000 && guard.bytesAhead <= 10_000);
    assert.deepEqual(heads.map(({ closed }) => closed), [
      true,
      true,
      false,
      false,
    ]);
  });

  // Guards against a reset that takes away a refusal, which the client has not read yet.
  it("should let a client read a response to a body that is not read", async () => {
    const { open } = await start({}, (_req, res) => {
      res.writeHead(503, { connection: "close" });
      res.end("refused");
    });
    const socket = await open();
    socket.write(
      "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 900000\r\n\r\n",
    );
    socket.write("x".repeat(800_000));
    assert.match(await text(socket), /503[^]*refused/);
  });

  it("should parse a body that arrives with the next request in small reads", async () => {
    const bodies: string[] = [];
    const { open } = await start({}, (req, res) => {
      void text(req).then((body) => {
        bodies.push(body);
        res.end("ok");
      });
    });
    const socket = await open();
    const request =
      "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n" +
      "\r\n3\r\na\n\n\r\n1\r\nb\r\n0\r\n\r\n";
    for (const part of request.repeat(2).match(/[^]{1,7}/g) ?? []) {
      socket.write(part);
      await pause(1);
    }
    await until(() => bodies.length === 2);
    assert.deepEqual(bodies, ["a\n\nb", "a\n\nb"]);
  });
});
