import assert from "node:assert/strict";
import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { InstanceId } from "../core/ids.ts";
import type { ServerRecord } from "../core/servers/server_record.ts";
import { TcpServerConnector } from "./server_connector.ts";
import { ServerExitCheck } from "./server_exit_check.ts";

let server: Server;
let connections: number;
let record: ServerRecord;
const check = new ServerExitCheck({
  serverConnector: new TcpServerConnector(),
});

beforeEach(async () => {
  connections = 0;
  server = createServer((socket) => {
    connections += 1;
    socket.on("error", () => {});
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  record = {
    instance: "i-1" as InstanceId,
    address: `127.0.0.1:${port}`,
  } as ServerRecord;
});

afterEach(() => {
  server.close();
});

describe("check for the exit of a server", () => {
  it("should distinguish a server that accepts connections from one that has exited", async () => {
    assert.equal(await check.hasExited(record), false);
    await new Promise((resolve) => server.close(resolve));
    assert.equal(await check.hasExited(record), true);
  });

  it("should connect once for all attempts that failed together", async () => {
    const results = await Promise.all(
      Array.from({ length: 5 }, () => check.hasExited(record)),
    );
    assert.deepEqual(results, [false, false, false, false, false]);
    assert.ok(connections <= 1);
  });
});
