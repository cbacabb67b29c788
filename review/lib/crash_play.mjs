/**
 * A play in which certain requests crash each server that begins to run them, while sound ones go on.
 * Counts how many of the former still reach servers once enough servers have crashed.
 */

import { BOUNDS } from "./gateway.mjs";
import { call, newAttempt } from "./client.mjs";
import { configure, MODELS, streamRoute } from "./config.mjs";
import { pause, TROUBLE } from "./play.mjs";
import { Server, stream } from "./server.mjs";

const SERVERS = 5;
const GATEWAYS = 2;
/** "The server is back after some seconds." */
const BACK_AFTER_MS = 3_000;
const FIRST_TOKEN_MS = 60;
const EVENTS = 6;
const GAP_MS = 20;
const BAD_INTERVAL_MS = 4_000;
const LENGTH_MS = 65_000;
const SOUND_PER_S = 10;
const DEADLINE_MS = 8_000;
/** RULES.md and pages-since.md: more than three break the rule. */
const MOST_ARRIVALS = 3;

/** Path by which the servers know the requests that crash them. */
export const BAD_PATH = "/care/calamansi";

/**
 * Plays it; returns what broke the rule. `bad` and `sound` make a request from its number,
 * `hasFirstEvent` tells whether the first event leaves before the crash, and `crashes` is the number
 * of crashes from which on the rule counts.
 */
export async function playCrashes(
  { store, log, atMs, onEnd, startGateways },
  { route, bad, sound, hasFirstEvent, crashes: limit },
) {
  const arrivals = [];
  const crashes = [];
  configure(store, [streamRoute(route)]);

  const run = (request) => {
    const { server, req, attempt } = request;
    const serve = () =>
      stream(request, {
        count: EVENTS,
        gapMs: GAP_MS,
        firstMs: FIRST_TOKEN_MS,
      });
    if (!req.url.startsWith(BAD_PATH)) return serve();
    arrivals.push({ atMs: atMs(), attempt });
    log(`${server.name} got attempt ${attempt}`);
    if (!TROUBLE) return serve();
    if (hasFirstEvent) serve();
    // The request begins to run with its first token.
    const beginMs = hasFirstEvent
      ? FIRST_TOKEN_MS + GAP_MS / 2
      : FIRST_TOKEN_MS;
    setTimeout(() => {
      if (!server.isUp) return;
      crashes.push(atMs());
      log(`${server.name} crashed as it began to run attempt ${attempt}`);
      server.crash(BACK_AFTER_MS);
    }, beginMs);
  };
  for (let n = 1; n <= SERVERS; n++) {
    const server = new Server(store, { name: `i-${n}`, service: MODELS, run });
    await server.start();
    onEnd(() => server.stop());
  }
  const gateways = await startGateways(GATEWAYS);

  const statuses = new Map();
  const send = async ({ path, body, prompt }, n, kind) => {
    const attempt = newAttempt();
    const gateway = gateways[n % GATEWAYS];
    const { status } = await call(gateway.callers, {
      path,
      body: Buffer.from(body),
      attempt,
      deadlineMs: DEADLINE_MS,
      headers: {
        "fieldrack-model": "m1",
        "fieldrack-token-usage": "400,24",
        "fieldrack-prefix-hash": prompt,
      },
    });
    const key = `${kind} requests with status ${status}`;
    statuses.set(key, (statuses.get(key) ?? 0) + 1);
    if (kind === "bad") {
      log(`attempt ${attempt} at ${gateway.name}: status ${status}`);
    }
  };
  const sendAtInterval = async (make, { intervalMs, kind }) => {
    const calls = [];
    for (let n = 0; atMs() < endMs; n++) {
      calls.push(send(make(n), n, kind));
      await pause(intervalMs);
    }
    await Promise.all(calls);
  };
  const endMs = atMs() + LENGTH_MS;
  const sounds = sendAtInterval(sound, {
    intervalMs: 1_000 / SOUND_PER_S,
    kind: "sound",
  });
  await pause(2_000);
  await sendAtInterval(bad, { intervalMs: BAD_INTERVAL_MS, kind: "bad" });
  await sounds;

  for (const [key, count] of statuses) log(`${key}: ${count}`);
  log(`arrivals ${arrivals.length}, crashes ${crashes.length}`);
  const sinceMs = crashes[limit - 1];
  if (sinceMs === undefined) return undefined;
  const late = arrivals.filter((one) => one.atMs > sinceMs + BOUNDS.ContactMs);
  log(
    `crash number ${limit} at ${sinceMs}; ${late.length} arrivals later than ContactMs after it`,
  );
  return late.length > MOST_ARRIVALS
    ? `BUDGET: ${late.length} arrivals later than ContactMs after crash number ${limit}`
    : undefined;
}
