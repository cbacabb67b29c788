/** A prompt part crashes servers; it comes late in prompts of many parts. */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { send } from "../lib-2/client.mjs";
import { BOUNDS, pause, runCase, TROUBLE } from "../lib-2/play.mjs";
import { beginStream, chunk, Server } from "../lib-2/server.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const CHAT = { path: "/lohu930/2f", timeoutMs: 25000 };
const BAD_PART = "91bd3f06";
/** Time after a crash at which the server is back. */
const BACK_MS = 2000;
const POISON_INTERVAL_MS = 400;
const SOUND_INTERVAL_MS = 60;
const PLAY_MS = 25000;
/** Parts of a prompt that sound requests and those with the bad part share, before the place of the bad one. */
const SHARED_PARTS = 35;
const BACKGROUND = Array.from({ length: SHARED_PARTS }, (_, at) => `${(0x5c1e0000 + at).toString(16)}:20`);

const route = (service) => ({ Name: "chat", Hostname: "ficu95.example", PathPrefix: "/lohu930/", RouteType: "streaming", Service: service, TimeoutMs: CHAT.timeoutMs, TargetLatencyMs: 4000, GapTargetMs: 1200, MaxAttempts: 3, Priority: 2, StreamResumption: true, SessionAffinity: true });
const llm = (name) => ({ Name: name, MaxConnections: 360, HealthPath: "/healthz", Engine: { Slots: 64, KvCapacityTokens: 439367, Models: [{ Name: "daka510000", Cost: 1 }] } });
const services = [llm("inspect-llm")];

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
    if (isBad && TROUBLE) {
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
  for (let n = 0; n < 8; n++) {
    const server = new Server(play, { service: "inspect-llm", slots: 64, answer });
    await server.start();
    play.onClose(() => server.stop());
  }
  await play.start(3);
  await pause(3500);

  const sound = { sent: 0, served: 0 };
  const bad = new Map();
  let serial = 0;
  const sendOne = async (isBad) => {
    serial += 1;
    const own = (0x5e000000 + serial).toString(16);
    const result = await send(play.gateways[serial % play.gateways.length], {
      path: CHAT.path,
      deadlineMs: CHAT.timeoutMs,
      body: `prompt ${serial}`,
      headers: {
        "fieldrack-model": "daka510000",
        "fieldrack-token-usage": "868,40",
        "fieldrack-prefix-hash": [...BACKGROUND, `${isBad ? BAD_PART : "e4402b7d"}:40`, `${own}:128`].join(),
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
  await Promise.all([every(SOUND_INTERVAL_MS, false), every(POISON_INTERVAL_MS, true)]);
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
