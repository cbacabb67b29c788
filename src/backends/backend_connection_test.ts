/** Guards against requests that still reach the server in full after their attempt was aborted. */

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
import { TcpServerConnector } from "./server_connector.ts";

/** More than the server's receive buffer holds, but less than that and the send buffer together. */
const BODY_BYTES = 1_024 * 1_024;
/** Time for the buffers on both sides to fill. */
const FILL_MS = 300;

let server: Server;

beforeEach(async () => {
  server = createServer((socket) => socket.pause());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
});

afterEach(() => server.close());

describe("connection to a server that does not read", () => {
  it("should discard unsent bytes when it is destroyed", async () => {
    const { port } = server.address() as AddressInfo;
    const connected = once(server, "connection");
    const connection = new BackendConnection(`127.0.0.1:${port}`, {
      connector: new TcpServerConnector(),
      onLost: () => {},
    });
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
    await pause(FILL_MS);
    connection.destroy();
    assert.ok(await countReceivedBytes(socket) < BODY_BYTES);
  });
});

/** Reads until the connection closes; returns the number of bytes received. */
async function countReceivedBytes(socket: Socket): Promise<number> {
  let bytes = 0;
  socket.on("data", (chunk: Buffer) => bytes += chunk.length);
  socket.on("error", () => {});
  const closed = once(socket, "close");
  socket.resume();
  await closed;
  return bytes;
}
