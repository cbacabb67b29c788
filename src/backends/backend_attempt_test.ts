import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { afterEach, describe, it } from "node:test";
import type { ServerNotice } from "../core/servers/server_notice.ts";
import { SystemClock } from "../runtime/clock.ts";
import { type RawRequest, RawServer } from "../../tests/fixtures/raw_server.ts";
import { BackendConnectionPool } from "./backend_connection_pool.ts";
import { ResponseMemory } from "./response_limits.ts";
import { TcpServerConnector } from "./server_connector.ts";
import {
  BackendAttempt,
  type BackendAttemptOutcome,
  type HeadDecision,
} from "./backend_attempt.ts";
import { serverRecord } from "../../tests/fixtures/server_record.ts";

const ATTEMPT_ID = "9c41d07be2a35f68";
const RESPONSE_BYTES = 48 * 1_024 * 1_024;

let server: RawServer | undefined;
let connections: BackendConnectionPool | undefined;

afterEach(async () => {
  connections?.close();
  await server?.close();
});

async function fixture(
  respond: (req: RawRequest) => void,
  { decision = "collect" as HeadDecision, fresh = false, maySend = true } = {},
) {
  server = new RawServer(respond);
  const address = await server.listen();
  connections = new BackendConnectionPool({
    clock: new SystemClock(),
    serverConnector: new TcpServerConnector(),
    responseMemory: new ResponseMemory(RESPONSE_BYTES),
  });
  const record = serverRecord("i-1", { address });
  const streamed: string[] = [];
  const notices: ServerNotice[] = [];
  const progress: boolean[] = [];
  const pool = connections;
  const send = (attempt = ATTEMPT_ID): Promise<BackendAttemptOutcome> =>
    new BackendAttempt(pool, {
      server: record,
      attempt,
      fresh,
      maySend: () => maySend,
      request: {
        method: "POST",
        path: "/a/b?c=%2e",
        headers: ["host", "shop.example", "Fieldrack-Attempt-Id", attempt],
        body: Buffer.from("body"),
      },
      sink: {
        decideByHead: () => decision,
        write: (chunk) => streamed.push(chunk.toString()) > 0,
        onNotice: (notice) => notices.push(notice),
        onProgress: (isOwn) => progress.push(isOwn),
        onConnectionLost: () => {},
      },
    }).run();
  return { send, streamed, notices, progress, server, record, connections };
}

function head(
  { status = "200 OK", attempt = ATTEMPT_ID, extra = "" } = {},
): string {
  return `HTTP/1.1 ${status}\r\nFieldrack-Attempt-Id: ${attempt}\r\n` +
    `Fieldrack-Server-Seal: s\r\n${extra}`;
}

const COMPLETE_RESPONSE = `${head({ extra: "Content-Length: 2\r\n" })}\r\nok`;

describe("attempt at a backend server", () => {
  it("should write nothing if the request may no longer be sent to its server", async () => {
    const { send, server } = await fixture(
      ({ socket }) => socket.write(COMPLETE_RESPONSE),
      { maySend: false },
    );
    assert.equal((await send()).tag, "withheld");
    assert.equal(server.requests.length, 0);
  });

  it("should report the server's status even if its response is unusable", async () => {
    const statusHeaders = "Fieldrack-Not-Processed: 1\r\nRetry-After: 2\r\n" +
      "Server-Leaving: 1\r\nServer-Limit: 0.5\r\nServer-Brittle: 3\r\n" +
      "Content-Length: 5\r\n\r\n";
    const status = "503 Service Unavailable";
    const truncated = ({ socket }: RawRequest) => {
      socket.end(`${head({ status, extra: statusHeaders })}ab`);
    };
    const another = ({ socket }: RawRequest) => {
      socket.write(head({ status, attempt: "another", extra: statusHeaders }));
    };
    for (const respond of [truncated, another]) {
      const { send, notices } = await fixture(respond);
      await send();
      assert.deepEqual(notices, [{
        restMs: 2_000,
        leaves: true,
        limitPerS: 0.5,
        bearsPerS: 3,
      }]);
      connections?.close();
      await server?.close();
    }
  });

  it("should ignore the status of a different server at the address", async () => {
    const { send, notices } = await fixture(({ socket }) => {
      socket.write(
        "HTTP/1.1 421 Misdirected Request\r\nServer-Leaving: 1\r\n" +
          "Content-Length: 0\r\n\r\n",
      );
    });
    assert.equal((await send()).tag, "misdirected");
    assert.deepEqual(notices, []);
  });

  // Guards against retries beyond the budget where a load balancer answers for a server that has not
  // read the request yet.
  it("should tell responses of the server from those that something between has made", async () => {
    const balancers = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 2\r\n\r\nno";
    for (
      const [response, isOwn] of [
        [COMPLETE_RESPONSE, true],
        [balancers, false],
      ] as const
    ) {
      const { send, progress } = await fixture(({ socket }) =>
        socket.write(response)
      );
      await send();
      assert.ok(progress.length > 0);
      assert.ok(progress.every((one) => one === isOwn));
      connections?.close();
      await server?.close();
    }
  });

  it("should return a complete response and reuse the connection", async () => {
    const { send, server } = await fixture(({ socket }) =>
      socket.write(COMPLETE_RESPONSE)
    );
    const outcome = await send();
    assert.equal(
      outcome.tag === "answered" && outcome.body.bytes().toString(),
      "ok",
    );
    await send();
    assert.deepEqual(server.requests.map(({ connection }) => connection), [
      1,
      1,
    ]);
    assert.match(server.requests[0]?.text ?? "", /^POST \/a\/b\?c=%2e HTTP/);
  });

  it("should open a new connection if requested", async () => {
    const { send, server } = await fixture(
      ({ socket }) => socket.write(COMPLETE_RESPONSE),
      { fresh: true },
    );
    await send();
    await send();
    assert.deepEqual(server.requests.map(({ connection }) => connection), [
      1,
      2,
    ]);
  });

  it("should reject a late response to another request", async () => {
    const { send } = await fixture(({ socket }) => {
      socket.write(COMPLETE_RESPONSE.replace(ATTEMPT_ID, "0123456789abcdef"));
    });
    assert.equal((await send()).tag, "broken");
  });

  // Guards against a response that is passed on by the first of its ids, while the other is of another attempt.
  it("should reject a response that also carries the id of another attempt", async () => {
    const ids = [ATTEMPT_ID, "0123456789abcdef"];
    for (const [first = "", second = ""] of [ids, ids.toReversed()]) {
      const { send } = await fixture(({ socket }) => {
        const extra =
          `Fieldrack-Attempt-Id: ${second}\r\nContent-Length: 2\r\n`;
        socket.write(`${head({ attempt: first, extra })}\r\nok`);
      });
      assert.equal((await send()).tag, "broken");
      connections?.close();
      await server?.close();
    }
  });

  it("should not treat the rejection of another request as its own", async () => {
    const refusal = head({
      status: "503 Service Unavailable",
      attempt: "0123456789abcdef",
      extra: "Fieldrack-Not-Processed: 1\r\nContent-Length: 0\r\n",
    });
    const { send } = await fixture(({ socket }) => {
      socket.write(`${refusal}\r\n`);
    });
    assert.equal((await send()).tag, "broken");
  });

  it("should not reuse a connection with surplus bytes after the response", async () => {
    const { send, server } = await fixture(({ socket }) => {
      socket.write(COMPLETE_RESPONSE + COMPLETE_RESPONSE);
    });
    await send();
    await send();
    assert.deepEqual(server.requests.map(({ connection }) => connection), [
      1,
      2,
    ]);
  });

  it("should detect a truncated body", async () => {
    const { send } = await fixture(({ socket }) => {
      socket.end(`${head({ extra: "Content-Length: 9\r\n" })}\r\nok`);
    });
    assert.equal((await send()).tag, "broken");
  });

  it("should accept a response without a length when its connection ends", async () => {
    const { send } = await fixture(({ socket }) => {
      socket.end(`${head()}\r\nok`);
    });
    const outcome = await send();
    assert.equal(
      outcome.tag === "answered" && outcome.body.bytes().toString(),
      "ok",
    );
  });

  it("should not accept a response without a length after a reset", async () => {
    const { send } = await fixture(({ socket }) => {
      socket.write(`${head()}\r\nok`, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
    assert.equal((await send()).tag, "broken");
  });

  it("should detect a reset that arrives together with the last bytes", async () => {
    const { send } = await fixture(({ socket }) => {
      // The client runs in this process, so both are sent before it reads either.
      socket.write(`${head()}\r\nok`);
      socket.resetAndDestroy();
    });
    assert.equal((await send()).tag, "broken");
  });

  it("should report a broken stream when its connection is reset", async () => {
    const { send, streamed } = await fixture(({ socket }) => {
      const chunked = head({ extra: "Transfer-Encoding: chunked\r\n" });
      socket.write(`${chunked}\r\n2\r\nok\r\n`, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    }, { decision: "stream" });
    assert.equal((await send()).tag, "stream_broken");
    assert.deepEqual(streamed, ["ok"]);
  });

  it("should report that nothing was sent if the connection fails", async () => {
    const { send, server } = await fixture(() => {});
    await server.close();
    assert.equal((await send()).tag, "not_sent");
  });

  it("should report that the request may have been processed if the connection ends first", async () => {
    const { send } = await fixture(({ socket }) => socket.end());
    assert.equal((await send()).tag, "broken");
  });

  it("should recognise a rejection before processing and a different server", async () => {
    const shed = head({
      status: "503 Service Unavailable",
      extra: "Fieldrack-Not-Processed: 1\r\nContent-Length: 0\r\n",
    });
    const full = await fixture(({ socket }) => socket.write(`${shed}\r\n`));
    assert.equal((await full.send()).tag, "not_run");
    await full.server.close();
    const other =
      "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
    const moved = await fixture(({ socket }) => socket.write(other));
    assert.equal((await moved.send()).tag, "misdirected");
  });

  it("should not treat a 503 without the header as a rejection before processing", async () => {
    const failed = head({
      status: "503 Service Unavailable",
      extra: "Content-Length: 0\r\n",
    });
    const { send } = await fixture(({ socket }) =>
      socket.write(`${failed}\r\n`)
    );
    assert.equal((await send()).tag, "answered");
  });
});
