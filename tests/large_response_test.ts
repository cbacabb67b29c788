/**
 * Guards against bytes of one response in another one: the memory of a large body is used again once it is
 * sent, also while other callers read slowly or leave halfway.
 */

import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { describe, it } from "node:test";
import { parseAddress } from "../src/runtime/address.ts";
import {
  answerBytes,
  ATTEMPT,
  HOST,
  KEY,
  routeWire,
  TestGateway,
} from "./fixtures/test_gateway.ts";
import { until } from "./fixtures/test_fleet.ts";

/** Together their responses stay below the share for unread ones. */
const CALLERS = 3;
const REQUESTS_PER_CALLER = 8;
/** More than sockets keep, and no whole number of blocks. */
const BODY_BYTES = 7_000_001;
const WAIT_MS = 20_000;
/** Time for which a caller reads nothing at first, and then after each read. */
const FIRST_READ_MS = 100;
const SLOW_READ_MS = 1;

/** Body that differs from those of all other paths at each place. */
function bodyOf(path: string): string {
  return `${path};`.repeat(Math.ceil(BODY_BYTES / (path.length + 1)));
}

function send(address: string, path: string): Socket {
  const socket = connect(parseAddress(address));
  socket.on("error", () => {});
  socket.write(
    `GET ${path} HTTP/1.1\r\nhost: ${HOST}\r\nconnection: close\r\n` +
      `authorization: Bearer ${KEY}\r\nfieldrack-attempt-id: ${ATTEMPT}\r\n` +
      `fieldrack-deadline-ms: ${WAIT_MS}\r\n\r\n`,
  );
  return socket;
}

/** Reads a response to its end, with a pause after each read. */
async function readSlowly(socket: Socket): Promise<string> {
  let text = "";
  await pause(FIRST_READ_MS);
  socket.setEncoding("latin1");
  for await (const chunk of socket) {
    text += chunk;
    await pause(SLOW_READ_MS);
  }
  return text;
}

/** Reads the beginning of a response, and leaves. */
async function leaveHalfway(socket: Socket): Promise<void> {
  await once(socket, "data");
  socket.destroy();
}

describe("large responses", () => {
  it("should hold their own bytes while memory is used again", async () => {
    const gateway = new TestGateway();
    try {
      await gateway.start([routeWire()]);
      for (const name of ["i-1", "i-2", "i-3"]) {
        await gateway.addServer(name, ({ text, socket }) => {
          const path = text.split(" ")[1] ?? "";
          socket.write(answerBytes({ body: bodyOf(path) }));
        });
      }
      const isServed = async () =>
        (await gateway.call("/stock/first")).status === 200;
      await until(isServed);
      let whole = 0;
      const callInTurn = async (caller: number) => {
        for (let n = 0; n < REQUESTS_PER_CALLER; n++) {
          const path = `/stock/${caller}-${n}`;
          const socket = send(gateway.address, path);
          if (n % 3 === 2) {
            await leaveHalfway(socket);
            continue;
          }
          const text = await readSlowly(socket);
          assert.match(text, /^HTTP\/1.1 200 /);
          const body = text.slice(text.indexOf("\r\n\r\n") + 4);
          assert.ok(body === bodyOf(path), path);
          whole += 1;
        }
      };
      await Promise.all(
        Array.from({ length: CALLERS }, (_, at) => callInTurn(at)),
      );
      assert.ok(whole > 0);
    } finally {
      await gateway.stop();
    }
  });
});
