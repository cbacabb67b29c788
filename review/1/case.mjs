/**
 * A service whose work takes up to somewhat longer than the `TimeoutMs` of its route answers with
 * neither a length nor chunks. Requests that can't be repeated are counted that ran and got a promise.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call, newAttempt } from "../lib/client.mjs";
import { configure, TILL, tillRoute } from "../lib/config.mjs";
import { pause, play, TROUBLE } from "../lib/play.mjs";
import { seal, Server } from "../lib/server.mjs";

/** `stock-lookup`: deadline by the sheet, `TimeoutMs` by the site file. */
const DEADLINE_MS = 1_500;
const TIMEOUT_MS = 800;
const LEAST_WORK_MS = 100;
const MOST_WORK_MS = 900;
/** At all gateways together. */
const PER_S = 80;
const LENGTH_MS = 50_000;
/** "The promise says that the request has not run and never will." */
const PROMISES = new Set([408, 421, 429, 503]);
const TEXT = "stock";

await play(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { store, log, atMs, onEnd, startGateways } = context;
  const runs = new Map();
  const run = ({ server, req, res, attempt }) => {
    runs.set(attempt, { server: server.name, atMs: atMs() });
    const workMs = LEAST_WORK_MS +
      Math.random() * (MOST_WORK_MS - LEAST_WORK_MS);
    // "A server stops work at the value it is handed", and gives its own 504 then.
    const handedMs = Number(req.headers["fieldrack-deadline-ms"]);
    setTimeout(() => {
      if (res.destroyed) return;
      seal(res, server);
      if (workMs > handedMs) {
        return res.writeHead(504, { "content-length": 0 }).end();
      }
      if (!TROUBLE) {
        return res.writeHead(200, { "content-length": TEXT.length }).end(TEXT);
      }
      res.useChunkedEncodingByDefault = false;
      res.writeHead(200, { connection: "close" }).end(TEXT);
    }, Math.min(workMs, handedMs));
  };
  for (let n = 1; n <= 5; n++) {
    const server = new Server(store, { name: `t-${n}`, service: TILL, run });
    await server.start();
    onEnd(() => server.stop());
  }
  configure(store, [tillRoute({ TimeoutMs: TIMEOUT_MS })]);
  const gateways = await startGateways(2);
  await pause(2_000);

  const broken = [];
  const statuses = new Map();
  const send = async (n) => {
    const attempt = newAttempt();
    const gateway = gateways[n % gateways.length];
    const { status, ms, body } = await call(gateway.callers, {
      path: `/stock/${n}`,
      body: Buffer.from("orchids"),
      attempt,
      deadlineMs: DEADLINE_MS,
    });
    const ran = runs.get(attempt);
    const key = `status ${status}, ${ran === undefined ? "not run" : "run"}`;
    statuses.set(key, (statuses.get(key) ?? 0) + 1);
    if (ran === undefined || !PROMISES.has(status)) return;
    broken.push(attempt);
    log(
      `attempt ${attempt} at ${gateway.name}: run by ${ran.server} at ${ran.atMs}, status ${status} after ${
        Math.round(ms)
      } ms: ${body}`,
    );
  };
  const calls = [];
  const endMs = atMs() + LENGTH_MS;
  for (let n = 0; atMs() < endMs; n++) {
    calls.push(send(n));
    await pause(1_000 / PER_S);
  }
  await Promise.all(calls);
  for (const [key, count] of statuses) log(`${key}: ${count}`);
  return broken.length > 0
    ? `REFUSED: ${broken.length} requests that can't be repeated were run, and answered with a promise that they were not`
    : undefined;
});
