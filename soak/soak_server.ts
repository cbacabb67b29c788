/** A backend server that records what it runs and can be made to misbehave. */

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
import {
  EVENTS_PER_STREAM,
  responseBody,
  streamEvent,
} from "./response_bodies.ts";
import type { History, NoticeRecord, RunRecord } from "./history.ts";
import {
  BACKOFF_MS,
  BAD_PART,
  MS_PER_SECOND,
  PARTS_HEADER,
  POISON_PATH,
  SERVER_LIMIT_PER_S,
} from "./soak_settings.ts";

/** How a server behaves. */
export type ServerMode =
  | "sound"
  /** Runs requests and resets the connection in the middle of the response. */
  | "resets"
  /** Runs requests but sends no response for a long time. */
  | "silent"
  /** Rejects all requests as not processed. */
  | "full"
  /** Rejects all requests as not processed and requests backoff. */
  | "rests"
  /** Advertises in all responses that it is draining, while its entry in the store stays ready. */
  | "leaves"
  /** Serves requests and advertises the rate limit that it accepts from all gateways. */
  | "limits"
  /** Responds with the response to another request. */
  | "crossed"
  /** Closes the connection in the middle of the response, without a reset. */
  | "cuts"
  /** Starts streams, and aborts all responses after a delay. */
  | "stalls";

/** Processing time of a request, in milliseconds. */
const PROCESSING_MS = 15;
/** Pause between events, in milliseconds. */
const EVENT_INTERVAL_MS = 8;
/** Longer than a gateway waits for a server that sends nothing. */
const HANG_MS = 4_000;
/** Time for a gateway to apply a new configuration before a response is aborted. */
const STALL_MS = 300;
/** Length of the part of a response that is sent before it is aborted. */
const TRUNCATE_AFTER_BYTES = 1_000;

/** One incarnation of a backend server. */
export class SoakServer {
  readonly name: string;
  readonly #history: History;
  readonly #server: Server;
  mode: ServerMode = "sound";
  /** Called when a request crashes the server. */
  onCrash: () => void = () => {};

  constructor(name: string, history: History) {
    this.name = name;
    this.#history = history;
    this.#server = createServer((req, res) => void this.#handle(req, res));
  }

  /** Starts to listen on loopback; returns the address. */
  async listen(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Stops immediately, as in a crash. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    res.on("error", () => res.destroy());
    const attempt = headerValue(req, "fieldrack-attempt-id") ?? "";
    res.setHeader("fieldrack-attempt-id", attempt);
    this.#history.arrivals.push({ attempt, atMs: performance.now() });
    const expected = headerValue(req, "fieldrack-expect-instance");
    if (expected !== undefined && expected !== this.name) {
      res.writeHead(421).end();
      return;
    }
    if (this.mode === "full") {
      res.writeHead(503, { "fieldrack-not-processed": "1" }).end();
      return;
    }
    if (this.mode === "rests") return this.#rejectWithBackoff(attempt, res);
    if (this.mode === "leaves") {
      res.setHeader("server-leaving", "1");
      this.#history.drainingNotices.push(this.#createNotice(attempt, 0));
    }
    if (this.mode === "limits") this.#advertiseLimit(attempt, res);
    const run = this.#recordRun(req, attempt);
    res.setHeader("fieldrack-server-seal", this.name);
    await pause(PROCESSING_MS);
    const isStream = req.url?.startsWith("/stream/") ?? false;
    if (await this.#applyMode(run, { res, isStream })) return;
    if (isStream) await this.#stream(req, res, run);
    else res.end(responseBody(attempt));
  }

  #rejectWithBackoff(attempt: string, res: ServerResponse): void {
    this.#history.backoffNotices.push(this.#createNotice(attempt, BACKOFF_MS));
    res.writeHead(503, {
      "fieldrack-not-processed": "1",
      "retry-after": String(BACKOFF_MS / MS_PER_SECOND),
    }).end();
  }

  #advertiseLimit(attempt: string, res: ServerResponse): void {
    res.setHeader("server-limit", String(SERVER_LIMIT_PER_S));
    const atMs = performance.now();
    this.#history.limitNotices.push({ server: this.name, attempt, atMs });
  }

  #createNotice(attempt: string, backoffMs: number): NoticeRecord {
    const atMs = performance.now();
    return { server: this.name, attempt, atMs, backoffMs };
  }

  #recordRun(req: IncomingMessage, attempt: string): RunRecord {
    const poison = req.url === POISON_PATH;
    const parts = headerValue(req, PARTS_HEADER)?.split(",") ?? [];
    const badPart = parts.includes(BAD_PART);
    const run: RunRecord = {
      attempt,
      server: this.name,
      atMs: performance.now(),
      account: headerValue(req, "fieldrack-tenant"),
      keyForwarded: req.headers.authorization !== undefined,
      incomplete: poison || badPart,
      poison,
      badPart,
    };
    this.#history.runs.push(run);
    return run;
  }

  /** Applies the mode to a request; returns whether the request has been handled. */
  async #applyMode(
    run: RunRecord,
    { res, isStream }: { res: ServerResponse; isStream: boolean },
  ): Promise<boolean> {
    const body = responseBody(run.attempt);
    switch (this.mode) {
      case "resets":
        run.incomplete = true;
        res.writeHead(200, { "content-length": body.length });
        res.write(body.slice(0, TRUNCATE_AFTER_BYTES));
        setTimeout(() => res.socket?.resetAndDestroy(), PROCESSING_MS);
        return true;
      case "cuts":
        run.incomplete = true;
        res.writeHead(200, { "content-length": body.length });
        res.write(body.slice(0, TRUNCATE_AFTER_BYTES));
        setTimeout(() => res.destroy(), PROCESSING_MS);
        return true;
      case "crossed":
        run.incomplete = true;
        res.setHeader("fieldrack-attempt-id", "another");
        res.end(responseBody("another"));
        return true;
      case "silent":
        run.incomplete = true;
        await pause(HANG_MS);
        res.destroy();
        return true;
      case "stalls":
        if (isStream) return false;
        run.incomplete = true;
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
    const after = Number(headerValue(req, "last-event-id") ?? 0);
    for (let event = after + 1; event <= EVENTS_PER_STREAM; event++) {
      const crashes = run.poison || run.badPart;
      if (crashes && event > after + 1) return this.#crash(run);
      if (await this.#abortsAtEvent(event)) {
        run.incomplete = true;
        res.write(streamEvent(run.attempt, event).slice(0, -4));
        res.socket?.resetAndDestroy();
        return;
      }
      res.write(streamEvent(run.attempt, event));
      await pause(EVENT_INTERVAL_MS);
    }
    res.end();
  }

  #crash({ poison }: RunRecord): void {
    const { poisonCrashes, badPartCrashes } = this.#history;
    const crashes = poison ? poisonCrashes : badPartCrashes;
    crashes.push({ server: this.name, atMs: performance.now() });
    this.onCrash();
  }

  /**
   * Whether a stream is aborted in the middle of this event; in mode `stalls` only after a delay.
   */
  async #abortsAtEvent(event: number): Promise<boolean> {
    if (this.mode === "leaves" || this.mode === "limits") return false;
    if (this.mode !== "stalls") return this.mode !== "sound";
    if (event < EVENTS_PER_STREAM) return false;
    await pause(STALL_MS);
    return true;
  }
}

function headerValue(req: IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
