/**
 * A server falls silent, and then its link is cut: open connections are reset, and new ones hang. Requests
 * that can't be repeated have begun to run there.
 */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { call, newAttempt } from "../lib/client.mjs";
import { configure, TILL, tillRoute } from "../lib/config.mjs";
import { Link } from "../lib/link.mjs";
import { pause, play, TROUBLE } from "../lib/play.mjs";
import { seal, Server } from "../lib/server.mjs";

/** `stock-lookup`: deadline by the sheet, `TimeoutMs` by the site file. */
const DEADLINE_MS = 1_500;
const TIMEOUT_MS = 800;
const WORK_MS = 43;
const SILENT_MS = 1_000;
/** The link is cut so long after the silence has begun. */
const CUT_AFTER_MS = 730;
const CUT_MS = 3_000;
const SERVERS = 5;
const SILENT_SERVERS = 2;
/** At all gateways together. */
const PER_S = 150;
const ROUNDS = 5;
const ROUND_MS = 9_000;

await play(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { store, log, atMs, onEnd, startGateways } = context;
  const runs = new Map();
  const silent = new Set(["t-1", "t-2"]);
  let silentUntilMs = 0;
  const run = ({ server, res, attempt }) => {
    runs.set(attempt, { server: server.name, atMs: atMs() });
    const answer = () => {
      const waitMs = silent.has(server.name) ? silentUntilMs - atMs() : 0;
      if (waitMs > 0) return void setTimeout(answer, waitMs);
      if (res.destroyed) return;
      seal(res, server);
      res.writeHead(200, { "content-length": 5 }).end("stock");
    };
    setTimeout(answer, WORK_MS);
  };
  const links = [];
  for (let n = 1; n <= SERVERS; n++) {
    const server = new Server(store, {
      name: `t-${n}`,
      service: TILL,
      run,
      slots: 64,
    });
    await server.start();
    const link = new Link();
    server.entryAddress = await link.listen(server.address);
    server.writeEntry();
    links.push(link);
    onEnd(() => link.close());
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
    const answer = await call(gateway.callers, {
      path: `/stock/${n}`,
      body: Buffer.from("orchids"),
      attempt,
      deadlineMs: DEADLINE_MS,
    });
    const ran = runs.get(attempt);
    const key = `status ${answer.status} ${answer.error ?? ""}, ${
      ran === undefined ? "not run" : "run"
    }`;
    statuses.set(key, (statuses.get(key) ?? 0) + 1);
    if (answer.status === 200) return;
    log(
      `attempt ${attempt} at ${gateway.name}: ${key} at ${ran?.server} since ${ran?.atMs}, after ${
        Math.round(answer.ms)
      } ms ${answer.body ?? ""}`,
    );
    if (ran !== undefined && [408, 421, 429, 503].includes(answer.status)) {
      broken.push(attempt);
    }
  };
  const trouble = async () => {
    const cut = links.slice(0, SILENT_SERVERS);
    await pause(3_000);
    log(`${SILENT_SERVERS} servers fall silent for ${SILENT_MS} ms`);
    silentUntilMs = atMs() + SILENT_MS;
    await pause(CUT_AFTER_MS);
    await Promise.all(cut.map((link) => link.cut()));
    log("their links are cut: connections were reset, new ones hang");
    await pause(CUT_MS);
    await Promise.all(cut.map((link) => link.heal()));
    log("the links are whole again");
  };
  const calls = [];
  let n = 0;
  for (let round = 0; round < ROUNDS; round++) {
    const endMs = atMs() + ROUND_MS;
    const troubled = TROUBLE ? trouble() : undefined;
    for (; atMs() < endMs; n++) {
      calls.push(send(n));
      await pause(1_000 / PER_S);
    }
    await troubled;
  }
  await Promise.all(calls);
  for (const [key, count] of statuses) log(`${key}: ${count}`);
  return broken.length > 0
    ? `REFUSED: ${broken.length} requests that can't be repeated were run, and answered 503`
    : undefined;
});
