import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { afterEach, describe, it } from "node:test";
import type { ServerNotice } from "../core/servers/server_notice.ts";
import { SystemClock } from "../runtime/clock.ts";
import { type RawRequest, RawServer } from "../../tests/fixtures/raw_server.ts";
import { BackendConnections } from "./backend_connections.ts";
import {
  BackendTry,
  type HeadVerdict,
  type TryOutcome,
} from "./backend_try.ts";
import { serverRecord } from "../../tests/fixtures/server_record.ts";

const ATTEMPT = "9c41d07be2a35f68";

let server: RawServer | undefined;
let connections: BackendConnections | undefined;

afterEach(async () => {
  connections?.close();
  await server?.close();
});

async function fixture(
  answer: (req: RawRequest) => void,
  { verdict = "collect" as HeadVerdict, fresh = false, maySend = true } = {},
) {
  server = new RawServer(answer);
  const address = await server.listen();
  connections = new BackendConnections({ clock: new SystemClock() });
  const record = serverRecord("i-1", { address });
  const streamed: string[] = [];
  const notices: ServerNotice[] = [];
  const pool = connections;
  const send = (attempt = ATTEMPT): Promise<TryOutcome> =>
    new BackendTry(pool, {
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
        judge: () => verdict,
        write: (chunk) => streamed.push(chunk.toString()) > 0,
        onNotice: (notice) => notices.push(notice),
        onProgress: () => {},
        onClosed: () => {},
      },
    }).run();
  return { send, streamed, notices, server, record, connections };
}

function head(
  { status = "200 OK", attempt = ATTEMPT, extra = "" } = {},
): string {
  return `HTTP/1.1 ${status}\r\nFieldrack-Attempt-Id: ${attempt}\r\n` +
    `Fieldrack-Server-Seal: s\r\n${extra}`;
}

const WHOLE = `${head({ extra: "Content-Length: 2\r\n" })}\r\nok`;

describe("a try at a backend server", () => {
  it("should write nothing where the request may no longer go to its server", async () => {
    const { send, server } = await fixture(
      ({ socket }) => socket.write(WHOLE),
      { maySend: false },
    );
    assert.equal((await send()).tag, "withheld");
    assert.equal(server.requests.length, 0);
  });

  it("should pass on what the server says of itself, whatever its answer is worth", async () => {
    const rest = "Fieldrack-Not-Processed: 1\r\nRetry-After: 2\r\n" +
      "Server-Leaving: 1\r\nServer-Limit: 0.5\r\nContent-Length: 5\r\n\r\n";
    const status = "503 Service Unavailable";
    const cut = ({ socket }: RawRequest) => {
      socket.end(`${head({ status, extra: rest })}ab`);
    };
    const another = ({ socket }: RawRequest) => {
      socket.write(head({ status, attempt: "another", extra: rest }));
    };
    for (const answer of [cut, another]) {
      const { send, notices } = await fixture(answer);
      await send();
      assert.deepEqual(notices, [{
        restMs: 2_000,
        leaves: true,
        limitPerS: 0.5,
      }]);
      connections?.close();
      await server?.close();
    }
  });

  it("should not take another server's word for that of the server", async () => {
    const { send, notices } = await fixture(({ socket }) => {
      socket.write(
        "HTTP/1.1 421 Misdirected Request\r\nServer-Leaving: 1\r\n" +
          "Content-Length: 0\r\n\r\n",
      );
    });
    assert.equal((await send()).tag, "misdirected");
    assert.deepEqual(notices, []);
  });

  it("should return a whole answer and use the connection again", async () => {
    const { send, server } = await fixture(({ socket }) => socket.write(WHOLE));
    const outcome = await send();
    assert.equal(outcome.tag === "answered" && outcome.body.toString(), "ok");
    await send();
    assert.deepEqual(server.requests.map(({ connection }) => connection), [
      1,
      1,
    ]);
    assert.match(server.requests[0]?.text ?? "", /^POST \/a\/b\?c=%2e HTTP/);
  });

  it("should open a fresh connection where one is asked for", async () => {
    const { send, server } = await fixture(
      ({ socket }) => socket.write(WHOLE),
      { fresh: true },
    );
    await send();
    await send();
    assert.deepEqual(server.requests.map(({ connection }) => connection), [
      1,
      2,
    ]);
  });

  it("should not take a late answer to another request for its own", async () => {
    const { send } = await fixture(({ socket }) => {
      socket.write(WHOLE.replace(ATTEMPT, "0123456789abcdef"));
    });
    assert.equal((await send()).tag, "broken");
  });

  it("should not believe another request's refusal", async () => {
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

  it("should not use a connection again behind which more bytes came", async () => {
    const { send, server } = await fixture(({ socket }) => {
      socket.write(WHOLE + WHOLE);
    });
    await send();
    await send();
    assert.deepEqual(server.requests.map(({ connection }) => connection), [
      1,
      2,
    ]);
  });

  it("should tell a body that is cut short from a whole one", async () => {
    const { send } = await fixture(({ socket }) => {
      socket.end(`${head({ extra: "Content-Length: 9\r\n" })}\r\nok`);
    });
    assert.equal((await send()).tag, "broken");
  });

  it("should take an answer without a length as whole when its connection ends", async () => {
    const { send } = await fixture(({ socket }) => {
      socket.end(`${head()}\r\nok`);
    });
    const outcome = await send();
    assert.equal(outcome.tag === "answered" && outcome.body.toString(), "ok");
  });

  it("should not take an answer without a length as whole after a reset", async () => {
    const { send } = await fixture(({ socket }) => {
      socket.write(`${head()}\r\nok`, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
    assert.equal((await send()).tag, "broken");
  });

  it("should tell a reset that comes together with the last bytes from an end", async () => {
    const { send } = await fixture(({ socket }) => {
      // Both are on their way before the other side looks, as it runs in this process.
      socket.write(`${head()}\r\nok`);
      socket.resetAndDestroy();
    });
    assert.equal((await send()).tag, "broken");
  });

  it("should cut a stream off when its connection is reset", async () => {
    const { send, streamed } = await fixture(({ socket }) => {
      const chunked = head({ extra: "Transfer-Encoding: chunked\r\n" });
      socket.write(`${chunked}\r\n2\r\nok\r\n`, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    }, { verdict: "stream" });
    assert.equal((await send()).tag, "stream_broken");
    assert.deepEqual(streamed, ["ok"]);
  });

  it("should say that nothing was sent when no connection comes up", async () => {
    const { send, server } = await fixture(() => {});
    await server.close();
    assert.equal((await send()).tag, "not_sent");
  });

  it("should say that the request may have run when the connection ends first", async () => {
    const { send } = await fixture(({ socket }) => socket.end());
    assert.equal((await send()).tag, "broken");
  });

  it("should know a server that has not run the request, or is another one", async () => {
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

  it("should not take a 503 of a run request for a refusal", async () => {
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
