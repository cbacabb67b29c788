/** One model server sends an event without end in tiny chunks: does its machine still answer? */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { keptAgent, send } from "../lib-2/client.mjs";
import { pause, runCase, TROUBLE } from "../lib-2/play.mjs";
import { beginStream, chunk, sealed, Server, write } from "../lib-2/server.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
/** Route of the lookups, as in the site's sheet. */
const LOOKUP = { path: "/cuti104/2f", timeoutMs: 1000 };
const CHAT = { path: "/lohu930/2f", timeoutMs: 25000 };
const LOOKUPS_MS = 100;
const PLAY_MS = 25000;
/** Answers that are spoilt: one in twenty of those of the spoiling server, the site's dose. */
const SPOILT_SHARE = 0.05;

const routes = [
  { Name: "lookup", Hostname: "ficu95.example", PathPrefix: "/cuti104/", RouteType: "idempotent", Service: "tracker", TimeoutMs: LOOKUP.timeoutMs, TargetLatencyMs: 121, MaxAttempts: 3, Priority: 1 },
  { Name: "chat", Hostname: "ficu95.example", PathPrefix: "/lohu930/", RouteType: "streaming", Service: "inspect-llm", TimeoutMs: CHAT.timeoutMs, TargetLatencyMs: 4000, GapTargetMs: 1200, MaxAttempts: 3, Priority: 2, StreamResumption: true, SessionAffinity: true },
];
const services = [
  { Name: "tracker", MaxConnections: 100, HealthPath: "/healthz" },
  { Name: "inspect-llm", MaxConnections: 360, HealthPath: "/healthz", Engine: { Slots: 64, KvCapacityTokens: 439367, Models: [{ Name: "daka510000", Cost: 1 }] } },
];

await runCase(folder, async (play) => {
  play.configure({ routes, services });
  const runs = { spoilt: 0, whole: 0 };
  const lookUp = async (req, server) => {
    await pause(21);
    write(req.socket, 200, sealed(req, server), "x".repeat(800));
  };
  const chat = async (req, server) => {
    const from = Number(req.headers["last-event-id"] ?? 0);
    await pause(40);
    beginStream(req, server);
    for (let id = from + 1; id <= 20; id++) {
      chunk(req.socket, `id: ${id}\ndata: ${"y".repeat(40)}\n\n`);
      await pause(20);
    }
    chunk(req.socket, "");
    runs.whole += 1;
  };
  /** An event that never ends, in chunks of two bytes, until the caller closes. */
  const endless = async (req, server) => {
    runs.spoilt += 1;
    play.note(`server ${server.id} begins an event without end for ${req.headers["fieldrack-attempt-id"]}`);
    let sent = 0;
    const { socket } = req;
    let isClosed = false;
    socket.once("close", () => isClosed = true);
    beginStream(req, server);
    chunk(socket, "id: 1\ndata: ");
    const unit = "2\r\nzz\r\n".repeat(1024);
    while (!isClosed) {
      sent += unit.length;
      if (!socket.write(unit)) {
        await new Promise((done) => {
          socket.once("drain", done);
          socket.once("close", done);
        });
      } else await pause(0);
    }
    play.note(`its caller has closed after ${sent} bytes`);
  };
  let chats = 0;
  const servers = [];
  for (let n = 0; n < 3; n++) servers.push(new Server(play, { service: "tracker", answer: lookUp }));
  for (let n = 0; n < 4; n++) {
    const isSpoiling = n === 0 && TROUBLE;
    let count = 0;
    const answer = (req, server) => {
      chats += 1;
      // After a while, and then one in twenty.
      const isSpoilt = isSpoiling && ++count % Math.round(1 / SPOILT_SHARE) === 0;
      return isSpoilt ? endless(req, server) : chat(req, server);
    };
    servers.push(new Server(play, { service: "inspect-llm", slots: 64, answer }));
  }
  for (const server of servers) {
    await server.start();
    play.onClose(() => server.stop());
  }
  await play.start(3);
  await pause(3500);

  const agents = play.gateways.map(() => keptAgent());
  const counts = play.gateways.map(() => ({ lookups: 0, unanswered: 0, late: 0, chats: 0, served: 0, mb: 0 }));
  const pending = [];
  const lookup = async (n) => {
    const count = counts[n];
    count.lookups += 1;
    const sentMs = play.now();
    // The client waits longer than the route's time-out, so that its own deadline explains nothing.
    const answer = send(play.gateways[n], { path: LOOKUP.path, deadlineMs: 4000, agent: agents[n], body: "q" });
    let isAnswered = false;
    const done = answer.then((result) => {
      isAnswered = true;
      if (result.ms > LOOKUP.timeoutMs) {
        play.note(`lookup ${result.attempt} at ${play.gateways[n].name}, sent at ${(sentMs / 1000).toFixed(3)} s: ${result.error ?? result.status} after ${Math.round(result.ms)} ms`);
      }
    });
    await pause(LOOKUP.timeoutMs);
    if (!isAnswered) count.unanswered += 1;
    await pause(500);
    if (!isAnswered) count.late += 1;
    await done;
  };
  const chatOnce = async (n, serial) => {
    counts[n].chats += 1;
    const result = await send(play.gateways[n], {
      path: CHAT.path,
      deadlineMs: CHAT.timeoutMs,
      body: "p",
      headers: {
        "fieldrack-model": "daka510000",
        "fieldrack-token-usage": "600,80",
        "fieldrack-prefix-hash": `5c1e07a2:172,${(0x91bd0000 + serial).toString(16)}:428`,
      },
    });
    if (result.status === 200 && result.isWhole) counts[n].served += 1;
    else play.note(`chat ${result.attempt} at ${play.gateways[n].name}: ${result.error ?? result.status} after ${Math.round(result.ms)} ms`);
  };
  const endMs = play.now() + PLAY_MS;
  let serial = 0;
  while (play.now() < endMs) {
    for (let n = 0; n < play.gateways.length; n++) {
      pending.push(lookup(n));
      if (serial % 3 === n) pending.push(chatOnce(n, serial));
      counts[n].mb = Math.max(counts[n].mb, play.gateways[n].memoryMb());
    }
    serial += 1;
    await pause(LOOKUPS_MS);
  }
  await Promise.race([Promise.all(pending), pause(30000)]);
  play.note(`runs: ${runs.whole} whole, ${runs.spoilt} spoilt of ${chats}`);
  for (const [n, { name, starts }] of play.gateways.entries()) {
    play.note(`${name}: ${JSON.stringify({ ...counts[n], mb: Math.round(counts[n].mb), starts })}`);
  }
  const sum = (name) => counts.reduce((total, count) => total + count[name], 0);
  const broken = sum("late") >= 8 && sum("late") > sum("unanswered") / 2;
  return broken
    ? { code: 1, text: "CONFIG broken: over half of the lookups unanswered at their route's TimeoutMs were so half a second later" }
    : { code: 0, text: "the rule held" };
});
