/**
 * Guards against a part of prompts that crashes each server that begins a response, while no two
 * requests with it are alike. In a fleet of 7 VMs and 8 servers, 64 servers crashed in turn, as
 * crashes were counted for each request alone: each new one was sent to up to three servers. On
 * services whose responses have neither a length nor chunks, crashes were not recognized at all:
 * their end is the end of the connection, so that a crash looked like a complete response.
 */

import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  type PartCrashOptions,
  type PartCrashResult,
  playPartCrashes,
  type ServedCount,
} from "./fixtures/part_crash_play.ts";

/** Requests with the part that may reach servers later than all gateways must know of it. */
const MAX_SENT_LATE = 3;
/** Smallest share of sound requests served, compared to the time before the crashes. */
const MIN_SERVED_SHARE = 0.5;

/** Time in which the fifth of a few requests has crashed its server, and all has recovered. */
const FEW_BAD_MS = 18_000;

const STREAMS: PartCrashOptions = {
  gateways: 7,
  form: "chunked_stream",
  badParts: () => ["shared", "bad"],
};

/** Ids of further prompt parts. */
function partIds(name: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, n) => `${name}${n}`);
}

/** Parts of a long conversation, which sound requests have as well. */
const BACKGROUND = partIds("background", 35);

const PLAYS: Readonly<Record<string, PartCrashOptions>> = {
  "streams at one gateway": { ...STREAMS, gateways: 1 },
  "streams at 7 gateways": STREAMS,
  // The size from which on most gateways hear of crashes and servers through others.
  "streams at 15 gateways": { ...STREAMS, gateways: 15 },
  "a companion that rarely comes alone": {
    ...STREAMS,
    badParts: () => ["shared", "companion", "bad"],
    companionParts: ["companion"],
  },
  "the part first": { ...STREAMS, badParts: () => ["bad", "second"] },
  // A part behind 32 others was never suspected.
  "a part behind 35 that sound requests share": {
    ...STREAMS,
    gateways: 3,
    badParts: () => ["shared", ...BACKGROUND, "bad"],
    companionParts: BACKGROUND,
  },
  "a part behind 700 of its own request": {
    ...STREAMS,
    gateways: 3,
    badParts: (n) => ["shared", ...partIds(`own${n}-`, 700), "bad"],
  },
  "few requests": { ...STREAMS, badPerS: 0.7, badMs: FEW_BAD_MS },
  "many requests that may run once": {
    ...STREAMS,
    runsOnce: true,
    badPerS: 60,
  },
  // Affinity led all requests with the part to one server, whose crashes counted once.
  "streams that run once, at servers that soon start again under their ids": {
    ...STREAMS,
    gateways: 2,
    runsOnce: true,
    resumable: false,
    badPerS: 1.5,
    badMs: FEW_BAD_MS,
    servers: { keepsId: true, restartDelayMs: 300 },
  },
  // The same for one request that its caller repeats: with a single attempt each, no retry left the server.
  "one request that runs once, at servers that soon start again under their ids":
    {
      ...STREAMS,
      gateways: 2,
      runsOnce: true,
      resumable: false,
      badParts: () => ["rare", "bad"],
      isOneRequest: true,
      badPerS: 1.5,
      badMs: FEW_BAD_MS,
      servers: { keepsId: true, restartDelayMs: 300 },
    },
  // Streams without a first byte were taken to wait for their turn, and never suspected.
  "streams whose servers crash before the first byte": {
    ...STREAMS,
    gateways: 2,
    servers: { keepsId: true, restartDelayMs: 300, crashesSilently: true },
  },
  "streams that run once, whose servers crash before the first byte": {
    ...STREAMS,
    gateways: 2,
    runsOnce: true,
    resumable: false,
    badPerS: 1.5,
    badMs: FEW_BAD_MS,
    servers: { keepsId: true, restartDelayMs: 300, crashesSilently: true },
  },
  // No other server tells whether the part is the cause, so that each crash of this one counts.
  "streams that run once, while all other servers drain": {
    ...STREAMS,
    gateways: 2,
    runsOnce: true,
    resumable: false,
    badPerS: 1.5,
    badMs: FEW_BAD_MS,
    serverCount: 1,
    servers: { keepsId: true, restartDelayMs: 300, draining: 4 },
  },
  "two parts": {
    ...STREAMS,
    badParts: (n) => ["shared", n % 2 === 0 ? "bad1" : "bad2"],
  },
  "responses that are no streams": { ...STREAMS, form: "plain" },
  "streams without an end mark, cut inside an event": {
    ...STREAMS,
    form: "unframed_stream_in_event",
  },
  "streams without an end mark, cut between events": {
    ...STREAMS,
    form: "unframed_stream_between_events",
  },
  "responses without an end mark": { ...STREAMS, form: "unframed_plain" },
  "a restart of all gateways": { ...STREAMS, restart: true },
  // Without the wait for the stored crashes, 14 are sent too late.
  "a restart of all gateways amid many requests": {
    ...STREAMS,
    runsOnce: true,
    badPerS: 60,
    restart: true,
  },
  "servers that crash by chance": { ...STREAMS, badParts: undefined },
};

function checkPlay(result: PartCrashResult): void {
  const text = JSON.stringify(result);
  assert.ok(result.sentTooLate <= MAX_SENT_LATE, `sent too late: ${text}`);
  const isServed = ({ sent, served }: ServedCount) =>
    sent > 0 && served >= MIN_SERVED_SHARE * sent;
  assert.ok(isServed(result.sharedFirstPart), `shared first part: ${text}`);
  assert.ok(isServed(result.otherFirstPart), `other first part: ${text}`);
  assert.equal(result.cutButComplete, 0, `looked complete: ${text}`);
}

// Each play runs all gateways and servers in this process, which must not starve.
describe("a prompt part that crashes servers", { concurrency: 2 }, () => {
  for (const [name, options] of Object.entries(PLAYS)) {
    describe(`in ${name}`, () => {
      it(`should reach few servers and leave sound requests served in ${name}`, async () => {
        checkPlay(await playPartCrashes(options));
      });
    });
  }
});
