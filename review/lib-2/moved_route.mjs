/** A prompt part crashes servers; the operator moves the route to another service. */

import { tmpdir } from "node:os";
import { send } from "./client.mjs";
import { BOUNDS, pause, runCase, TROUBLE } from "./play.mjs";
import { beginStream, chunk, Server } from "./server.mjs";

// Not one of the five cases: its record goes to a temporary folder.
const folder = tmpdir();
const CHAT = { path: "/lohu930/2f", timeoutMs: 25000 };
const BAD_PART = "91bd3f06";
/** Time after a crash at which the server is back. */
const BACK_MS = 2000;
const POISON_INTERVAL_MS = 400;
const SOUND_INTERVAL_MS = 60;
/** Times since the first request. */
const MOVE_MS = 14000;
const PLAY_MS = 32000;
/** Documents, each a part of its own that sound requests and those with the bad part share. */
const DOCUMENTS = 200;

const route = (service) => ({ Name: "chat", Hostname: "ficu95.example", PathPrefix: "/lohu930/", RouteType: "streaming", Service: service, TimeoutMs: CHAT.timeoutMs, TargetLatencyMs: 4000, GapTargetMs: 1200, MaxAttempts: 1, Priority: 2, SessionAffinity: true });
const llm = (name) => ({ Name: name, MaxConnections: 360, HealthPath: "/healthz", Engine: { Slots: 64, KvCapacityTokens: 439367, Models: [{ Name: "daka510000", Cost: 1 }] } });
const services = [llm("inspect-llm"), llm("inspect-llm-2")];

await runCase(folder, async (play) => {
  play.configure({ routes: [route("inspect-llm")], services });
  const crashes = [];
  const arrivals = [];
  const answer = async (req, server) => {
    const isBad = (req.headers["fieldrack-prefix-hash"] ?? "").includes(BAD_PART);
    if (isBad) {
      arrivals.push(play.now());
      play.note(`request ${req.headers["fieldrack-attempt-id"]} with the part reaches ${server.id} (${server.service})`);
    }
    await pause(40);
    if (isBad) {
      if (!server.isUp) return;
      crashes.push(play.now());
      play.note(`server ${server.id} crashes as it begins to write the answer (crash ${crashes.length})`);
      server.crash();
      setTimeout(() => void server.start(), BACK_MS).unref();
      return;
    }
    if (req.socket.destroyed) return;
    const from = Number(req.headers["last-event-id"] ?? 0);
    beginStream(req, server);
    for (let id = from + 1; id <= 8; id++) {
      chunk(req.socket, `id: ${id}\ndata: ${"y".repeat(40)}\n\n`);
      await pause(20);
    }
    chunk(req.socket, "");
  };
  for (const service of ["inspect-llm", "inspect-llm-2"]) {
    for (let n = 0; n < 8; n++) {
      const server = new Server(play, { service, slots: 64, answer });
      await server.start();
      play.onClose(() => server.stop());
    }
  }
  await play.start(3);
  await pause(3500);

  const sound = { sent: 0, served: 0 };
  const bad = new Map();
  let serial = 0;
  const sendOne = async (isBad) => {
    serial += 1;
    const own = (0x5e000000 + serial).toString(16);
    const document = (0xd0c000 + (serial * 37) % DOCUMENTS).toString(16);
    const result = await send(play.gateways[serial % play.gateways.length], {
      path: CHAT.path,
      deadlineMs: CHAT.timeoutMs,
      body: `prompt ${serial}`,
      headers: {
        "fieldrack-model": "daka510000",
        "fieldrack-token-usage": "600,40",
        "fieldrack-prefix-hash": `5c1e07a2:172,${isBad ? BAD_PART : "e4402b7d"}:200,${document}:100,${own}:128`,
      },
    });
    if (isBad) {
      const outcome = result.error ?? String(result.status);
      bad.set(outcome, (bad.get(outcome) ?? 0) + 1);
    } else {
      sound.sent += 1;
      if (result.status === 200 && result.isWhole) sound.served += 1;
    }
  };
  const startMs = play.now();
  const every = async (intervalMs, isBad) => {
    while (play.now() - startMs < PLAY_MS) {
      void sendOne(isBad);
      await pause(intervalMs);
    }
  };
  const move = async () => {
    await pause(MOVE_MS);
    if (TROUBLE) play.configure({ routes: [route("inspect-llm-2")], services });
  };
  await Promise.all([every(SOUND_INTERVAL_MS, false), every(POISON_INTERVAL_MS, true), move()]);
  await pause(2000);
  play.note(`sound requests: ${sound.served} of ${sound.sent} served; with the part: ${JSON.stringify([...bad])}`);
  const fifthMs = crashes[4];
  if (fifthMs === undefined) return { code: 0, text: `the rule held: ${crashes.length} crashes` };
  const late = arrivals.filter((atMs) => atMs > fifthMs + BOUNDS.ContactMs);
  const text = `${crashes.length} crashes; the fifth at ${(fifthMs / 1000).toFixed(3)} s; ${late.length} requests with the part reached servers later than ContactMs after it, three are allowed`;
  return late.length > 3
    ? { code: 1, text: `BUDGET broken: ${text}` }
    : { code: 0, text: `the rule held: ${text}` };
});
