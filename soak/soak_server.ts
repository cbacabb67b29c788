/** A backend server that keeps what it has run, and misbehaves when it is told to. */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import { pause } from "../src/runtime/pause.ts";
import { eventOf, EVENTS, wholeBody } from "./answer_bodies.ts";
import type { History, NoticeRecord, RunRecord } from "./history.ts";
import {
  MS_PER_SECOND,
  POISON_PATH,
  REST_MS,
  SERVER_LIMIT_PER_S,
} from "./soak_settings.ts";

/** How a server behaves. */
export type ServerMode =
  | "sound"
  /** Runs requests and resets their connections in the middle of the answer. */
  | "resets"
  /** Runs requests and says nothing for long. */
  | "silent"
  /** Takes no requests, and says so. */
  | "full"
  /** The same, and asks for rest. */
  | "rests"
  /** Says in all answers that it leaves, while its entry goes on to say that it is ready. */
  | "leaves"
  /** Serves, and names how much it takes from all gateways. */
  | "limits"
  /** Answers with the answer to another request. */
  | "crossed"
  /** Ends answers before their end, without a reset. */
  | "cuts"
  /** Begins streams, and breaks all answers off after a while. */
  | "stalls";

/** Time that a request takes, in milliseconds. */
const WORK_MS = 15;
/** Pause between events, in milliseconds. */
const EVENT_MS = 8;
/** Longer than a gateway waits for a silent server. */
const SILENCE_MS = 4_000;
/** Time for a gateway to take a new configuration over, before an answer is broken off. */
const STALL_MS = 300;
/** Part of an answer after which it is broken off. */
const BROKEN_AFTER = 1_000;

/** One life of a backend server. */
export class SoakServer {
  readonly name: string;
  readonly #history: History;
  readonly #server: Server;
  mode: ServerMode = "sound";
  /** Called when a request ends the server. */
  onPoisoned: () => void = () => {};

  constructor(name: string, history: History) {
    this.name = name;
    this.#history = history;
    this.#server = createServer((req, res) => void this.#answer(req, res));
  }

  /** Starts to listen on loopback; returns the address. */
  async listen(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Ends at once, as by a crash. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
    res.on("error", () => res.destroy());
    const attempt = headerOf(req, "fieldrack-attempt-id") ?? "";
    res.setHeader("fieldrack-attempt-id", attempt);
    this.#history.arrivals.push({ attempt, atMs: performance.now() });
    const expected = headerOf(req, "fieldrack-expect-instance");
    if (expected !== undefined && expected !== this.name) {
      res.writeHead(421).end();
      return;
    }
    if (this.mode === "full") {
      res.writeHead(503, { "fieldrack-not-processed": "1" }).end();
      return;
    }
    if (this.mode === "rests") return this.#turnAway(attempt, res);
    if (this.mode === "leaves") {
      res.setHeader("server-leaving", "1");
      this.#history.leavingWords.push(this.#notice(attempt, 0));
    }
    if (this.mode === "limits") this.#nameLimit(attempt, res);
    const poison = req.url === POISON_PATH;
    const run = this.#note(req, { attempt, poison });
    res.setHeader("fieldrack-server-seal", this.name);
    await pause(WORK_MS);
    const isStream = req.url?.startsWith("/stream/") ?? false;
    if (await this.#misbehaves(run, { res, isStream })) return;
    if (isStream) await this.#stream(req, res, run);
    else res.end(wholeBody(attempt));
  }

  #turnAway(attempt: string, res: ServerResponse): void {
    this.#history.rests.push(this.#notice(attempt, REST_MS));
    res.writeHead(503, {
      "fieldrack-not-processed": "1",
      "retry-after": String(REST_MS / MS_PER_SECOND),
    }).end();
  }

  #nameLimit(attempt: string, res: ServerResponse): void {
    res.setHeader("server-limit", String(SERVER_LIMIT_PER_S));
    const atMs = performance.now();
    this.#history.limits.push({ server: this.name, attempt, atMs });
  }

  #notice(attempt: string, restMs: number): NoticeRecord {
    const atMs = performance.now();
    return { server: this.name, attempt, atMs, restMs };
  }

  #note(
    req: IncomingMessage,
    { attempt, poison }: { attempt: string; poison: boolean },
  ): RunRecord {
    const run: RunRecord = {
      attempt,
      server: this.name,
      atMs: performance.now(),
      account: headerOf(req, "fieldrack-tenant"),
      keyShown: req.headers.authorization !== undefined,
      broken: poison,
      poison,
    };
    this.#history.runs.push(run);
    return run;
  }

  /** Does what the mode asks for; returns whether there is nothing more to answer. */
  async #misbehaves(
    run: RunRecord,
    { res, isStream }: { res: ServerResponse; isStream: boolean },
  ): Promise<boolean> {
    const body = wholeBody(run.attempt);
    switch (this.mode) {
      case "resets":
        run.broken = true;
        res.writeHead(200, { "content-length": body.length });
        res.write(body.slice(0, BROKEN_AFTER));
        setTimeout(() => res.socket?.resetAndDestroy(), WORK_MS);
        return true;
      case "cuts":
        run.broken = true;
        res.writeHead(200, { "content-length": body.length });
        res.write(body.slice(0, BROKEN_AFTER));
        setTimeout(() => res.destroy(), WORK_MS);
        return true;
      case "crossed":
        run.broken = true;
        res.setHeader("fieldrack-attempt-id", "another");
        res.end(wholeBody("another"));
        return true;
      case "silent":
        run.broken = true;
        await pause(SILENCE_MS);
        res.destroy();
        return true;
      case "stalls":
        if (isStream) return false;
        run.broken = true;
        await pause(STALL_MS);
        res.socket?.resetAndDestroy();
        return true;
      default:
        return false;
    }
  }

  async #stream(
    req: IncomingMessage,
    res: ServerResponse,
    run: RunRecord,
  ): Promise<void> {
    res.setHeader("content-type", "text/event-stream");
    const after = Number(headerOf(req, "last-event-id") ?? 0);
    for (let event = after + 1; event <= EVENTS; event++) {
      if (run.poison && event > after + 1) return this.#poisoned();
      if (await this.#breaksOff(event)) {
        run.broken = true;
        res.write(eventOf(run.attempt, event).slice(0, -4));
        res.socket?.resetAndDestroy();
        return;
      }
      res.write(eventOf(run.attempt, event));
      await pause(EVENT_MS);
    }
    res.end();
  }

  #poisoned(): void {
    const atMs = performance.now();
    this.#history.poisonedServers.push({ server: this.name, atMs });
    this.onPoisoned();
  }

  /** Whether a stream ends with a part of this event; one that stalls keeps its caller waiting. */
  async #breaksOff(event: number): Promise<boolean> {
    if (this.mode === "leaves" || this.mode === "limits") return false;
    if (this.mode !== "stalls") return this.mode !== "sound";
    if (event < EVENTS) return false;
    await pause(STALL_MS);
    return true;
  }
}

function headerOf(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
