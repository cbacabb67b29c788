/**
 * A gateway gets SIGTERM while a client goes on with an address that it has kept. Its server, which is
 * sound, falls silent for a second and goes on.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS } from "../lib/gateway.mjs";
import { call, newAttempt } from "../lib/client.mjs";
import {
  configure,
  MODELS,
  streamRoute,
  TILL,
  tillRoute,
} from "../lib/config.mjs";
import { pause, play, TROUBLE } from "../lib/play.mjs";
import { seal, Server, stream } from "../lib/server.mjs";

const DEADLINE_MS = 2_500;
const TIMEOUT_MS = 2_000;
const WORK_MS = 43;
/** A chat that runs since before the SIGTERM keeps the process from ending early. */
const CHAT_EVENTS = 70;
const CHAT_GAP_MS = 250;
/** The server is silent from here on, in milliseconds after the SIGTERM. */
const SILENT_FROM_MS = 6_600;
const SILENT_MS = 1_300;
const INTERVAL_MS = 20;
/** The client heeds nothing else than its kept address. */
const SEND_UNTIL_MS = 9_500;

await play(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { store, log, atMs, onEnd, startGateways } = context;
  const runs = new Map();
  let silentUntilMs = 0;
  configure(store, [
    tillRoute({ TimeoutMs: TIMEOUT_MS }),
    streamRoute({ TimeoutMs: 25_000 }),
  ]);
  const run = ({ server, req, res, attempt }) => {
    const receivedMs = atMs();
    runs.set(attempt, receivedMs);
    log(`${server.name} runs attempt ${attempt}`);
    const answer = () => {
      const waitMs = silentUntilMs - atMs();
      if (waitMs > 0) return void setTimeout(answer, waitMs);
      if (res.destroyed) return;
      seal(res, server);
      const text = `stock of ${req.url}`;
      res.writeHead(200, { "content-length": text.length });
      res.end(text);
    };
    setTimeout(answer, WORK_MS);
  };
  for (let n = 1; n <= 3; n++) {
    const server = new Server(store, {
      name: `t-${n}`,
      service: TILL,
      run,
      slots: 6,
    });
    await server.start();
    onEnd(() => server.stop());
  }
  const model = new Server(store, {
    name: "i-1",
    service: MODELS,
    run: (request) =>
      stream(request, {
        count: CHAT_EVENTS,
        gapMs: CHAT_GAP_MS,
        firstMs: WORK_MS,
      }),
  });
  await model.start();
  onEnd(() => model.stop());
  const gateways = await startGateways(2);
  const [leaving] = gateways;
  await pause(1_000);
  const chat = call(leaving.callers, {
    path: "/care/chat",
    body: Buffer.from("hello"),
    deadlineMs: 25_000,
    headers: {
      "fieldrack-model": "m1",
      "fieldrack-token-usage": "400,280",
      "fieldrack-prefix-hash": "a01:340,b1:60",
    },
  });
  await pause(500);
  const termMs = atMs();
  if (TROUBLE) {
    log(`SIGTERM to ${leaving.name}`);
    leaving.signal("SIGTERM");
    setTimeout(() => {
      silentUntilMs = atMs() + SILENT_MS;
      log(`servers are silent for ${SILENT_MS} ms`);
    }, SILENT_FROM_MS);
  }
  const lost = [];
  const statuses = new Map();
  const calls = [];
  for (let n = 0; atMs() - termMs < SEND_UNTIL_MS; n++) {
    const attempt = newAttempt();
    const sentMs = atMs() - termMs;
    calls.push((async () => {
      const answer = await call(leaving.callers, {
        path: `/stock/${n}`,
        body: Buffer.from("orchids"),
        attempt,
        deadlineMs: DEADLINE_MS,
      });
      const ran = runs.has(attempt);
      log(
        `attempt ${attempt} sent ${sentMs} ms after SIGTERM: status ${answer.status} ${
          answer.error ?? ""
        } after ${Math.round(answer.ms)} ms, ${ran ? "run" : "not run"}`,
      );
      const key = `${answer.status} ${answer.error ?? ""} ${
        ran ? "run" : "not run"
      }`;
      statuses.set(key, (statuses.get(key) ?? 0) + 1);
      const late = sentMs > 3_000 && sentMs < BOUNDS.GraceS * 1_000 + 1_000;
      const isCut = answer.status === 0 && answer.ms < TIMEOUT_MS;
      if (late && ran && isCut) lost.push(attempt);
    })());
    await pause(INTERVAL_MS);
  }
  await Promise.all(calls);
  if (TROUBLE) log(`chat: status ${(await chat).status}`);
  for (const [key, count] of statuses) log(`${key}: ${count}`);
  return lost.length > 0
    ? `LOST: ${lost.length} requests were passed on to a server, and their connections ended without an answer`
    : undefined;
});
