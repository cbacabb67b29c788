/**
 * Guards against a part of a response that a reader takes for all of it: the HTTP client reported a
 * reset as the regular end of a body without a length, so that each reader but the gateway's passed on
 * or acted on what it had received until then.
 */

import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { describe, it } from "node:test";
import { EarlyServer } from "./fixtures/early_server.ts";
import { type Reader, READERS } from "./fixtures/response_readers.ts";

const RESET_DELAYS_MS = [0, 2, 50];
/** The outcome depends on the order in which the kernel reports the reset. */
const PLAYS = 4;

/** Lets a reader ask a server that responds without a length; returns what the reader makes of it. */
async function play(
  { body, read }: Reader,
  end: (socket: Socket) => void,
): Promise<boolean> {
  const server = new EarlyServer((socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`);
    end(socket);
  });
  try {
    return await read(await server.listen());
  } finally {
    await server.close();
  }
}

describe("a response without a length", () => {
  for (const [name, reader] of Object.entries(READERS)) {
    it(`should not be taken for complete after a reset: ${name}`, async () => {
      const complete: string[] = [];
      for (const delayMs of RESET_DELAYS_MS) {
        for (let count = 0; count < PLAYS; count++) {
          const isComplete = await play(reader, (socket) => {
            if (delayMs === 0) socket.resetAndDestroy();
            else setTimeout(() => socket.resetAndDestroy(), delayMs);
          });
          if (isComplete) complete.push(`reset after ${delayMs} ms`);
        }
      }
      assert.deepEqual(complete, []);
    });

    it(`should be taken for complete after a proper end: ${name}`, async () => {
      const isComplete = await play(reader, (socket) => {
        // Reads the rest of an upload first.
        socket.resume();
        setTimeout(() => socket.end(), RESET_DELAYS_MS.at(-1));
      });
      assert.equal(isComplete, true);
    });
  }
});
