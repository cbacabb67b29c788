/** Guards against requests that reach a server whole after their attempt was given up. */

import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { once } from "node:events";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, describe, it } from "node:test";
import { BackendConnection } from "./backend_connection.ts";

/** More than the buffer of the server holds, and less than that of the sender besides. */
const BODY_BYTES = 1_024 * 1_024;
const SENDING_MS = 300;

let server: Server;

beforeEach(async () => {
  server = createServer((socket) => socket.pause());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
});

afterEach(() => server.close());

describe("connection to a server that does not read", () => {
  it("should keep back what it has not sent once it is given up", async () => {
    const { port } = server.address() as AddressInfo;
    const connected = once(server, "connection");
    const connection = new BackendConnection(`127.0.0.1:${port}`, () => {});
    connection.send(
      {
        method: "POST",
        path: "/a",
        headers: ["host", "shop.example"],
        body: Buffer.alloc(BODY_BYTES),
      },
      {
        onSending: () => true,
        onHead: () => {},
        onData: () => {},
        onEnd: () => {},
        onFailure: () => {},
      },
    );
    const [socket] = await connected as [Socket];
    await pause(SENDING_MS);
    connection.destroy();
    assert.ok(await readAll(socket) < BODY_BYTES);
  });
});

/** Reads until the connection ends; returns how many bytes came. */
async function readAll(socket: Socket): Promise<number> {
  let bytes = 0;
  socket.on("data", (chunk: Buffer) => bytes += chunk.length);
  socket.on("error", () => {});
  const closed = once(socket, "close");
  socket.resume();
  await closed;
  return bytes;
}
