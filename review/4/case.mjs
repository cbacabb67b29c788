/**
 * A route with `Sizes` is added. One request at each gateway names a model that the servers do not run,
 * and gets 421 from them. What other clients send on that route, with * as the model, is counted.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
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

const SIZES = ["m0", "m1", "m2"];
const UNKNOWN_MODEL = "m9";
const WORK_MS = 43;
const PER_S = 10;
const BEFORE_MS = 20_000;
const LENGTH_MS = 30_000;
/** RULES.md: at least 20 requests, and less than a quarter as often. */
const MIN_REQUESTS = 20;
const LEAST_SHARE = 0.25;

await play(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { store, log, atMs, onEnd, startGateways } = context;
  const runModel = (request) => {
    const { server, req, res, attempt } = request;
    const model = req.headers["fieldrack-model"];
    if (!SIZES.includes(model)) {
      log(`${server.name} answers 421 to attempt ${attempt}, model ${model}`);
      res.setHeader("fieldrack-not-processed", "1");
      return res.writeHead(421).end();
    }
    stream(request, { count: 6, gapMs: 20, firstMs: WORK_MS });
  };
  const runTill = ({ server, res }) =>
    setTimeout(() => {
      seal(res, server);
      res.writeHead(200, { "content-length": 5 }).end("stock");
    }, WORK_MS);
  for (let n = 1; n <= 4; n++) {
    for (
      const [name, service, run] of [
        [`i-${n}`, MODELS, runModel],
        [`t-${n}`, TILL, runTill],
      ]
    ) {
      const server = new Server(store, { name, service, run, slots: 16 });
      await server.start();
      onEnd(() => server.stop());
    }
  }
  configure(store, [tillRoute()], 1);
  const gateways = await startGateways(2);
  await pause(4_000);
  configure(store, [tillRoute(), streamRoute({ Sizes: SIZES })], 2);
  log("a configuration adds the route care-sheet");
  await pause(4_000);

  const care = (n, model) => ({
    path: `/care/${n}`,
    body: Buffer.from(`sheet ${n}`),
    attempt: newAttempt(),
    deadlineMs: 8_000,
    headers: {
      "fieldrack-model": model,
      "fieldrack-token-usage": "400,24",
      "fieldrack-prefix-hash": `a0${n % 8}:340,b${n}:60`,
    },
  });
  const counts = {
    first: { sent: 0, served: 0 },
    later: { sent: 0, served: 0 },
  };
  const statuses = new Map();
  const count = async (kind, gateway, request) => {
    counts[kind].sent += 1;
    const { status } = await call(gateway.callers, request);
    if (status === 200) counts[kind].served += 1;
    const key = `${kind} route, ${gateway.name}, status ${status}`;
    statuses.set(key, (statuses.get(key) ?? 0) + 1);
  };
  const sendFor = async (lengthMs) => {
    const calls = [];
    const endMs = atMs() + lengthMs;
    for (let n = 1; atMs() < endMs; n++) {
      const gateway = gateways[n % gateways.length];
      calls.push(count("later", gateway, care(n, "*")));
      calls.push(count("first", gateway, {
        path: `/stock/${n}`,
        body: Buffer.from("orchids"),
        deadlineMs: 1_500,
      }));
      await pause(1_000 / PER_S);
    }
    await Promise.all(calls);
    for (const [key, number] of statuses) log(`${key}: ${number}`);
    statuses.clear();
  };
  await sendFor(BEFORE_MS);
  for (const count of Object.values(counts)) count.sent = count.served = 0;
  const model = TROUBLE ? UNKNOWN_MODEL : "*";
  for (const gateway of gateways) {
    const request = care(0, model);
    const { status } = await call(gateway.callers, request);
    log(
      `model ${model}, attempt ${request.attempt} at ${gateway.name}: status ${status}`,
    );
  }
  await pause(4_000);
  await sendFor(LENGTH_MS);
  const { first, later } = counts;
  const share = later.served / later.sent / (first.served / first.sent);
  log(
    `later route ${later.served} of ${later.sent} served, first route ${first.served} of ${first.sent}`,
  );
  return later.sent >= MIN_REQUESTS && share < LEAST_SHARE
    ? `CONFIG: the later route is served ${
      share.toFixed(2)
    } times as often as the first one`
    : undefined;
});
