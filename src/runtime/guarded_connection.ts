/** One connection of a client: has its requests parsed one at a time. */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { nextLineSlice } from "./line_slices.ts";
import type { TurnBudget } from "./turn_budget.ts";

/** Time for a client to read a response before its connection ends with request bytes unread. */
const LINGER_MS = 1_000;
/** Lines of each read that are parsed immediately, enough for an ordinary request. */
const LINES_PER_READ = 64;
const NO_BYTES = Buffer.alloc(0);

type DataListener = (bytes: Buffer) => void;

/** The events that a guard follows. */
export interface ConnectionListener {
  /** A request is being read or answered now. */
  onBusy(connection: GuardedConnection): void;
  /** No request is under way any more. */
  onWaiting(connection: GuardedConnection): void;
  /** More bytes are kept, or fewer if negative, that belong to no request under way. */
  onKept(bytes: number): void;
}

/**
 * Stands between a socket and the HTTP parser of Node's server, which would parse all requests of a
 * read in one go and make a response for each before the first one is sent.
 */
export class GuardedConnection {
  readonly socket: Socket;
  readonly #budget: TurnBudget;
  readonly #listener: ConnectionListener;
  readonly #parse: DataListener;
  /** Bytes read and not parsed yet, from `#offset`. */
  #ahead: Buffer = NO_BYTES;
  #offset = 0;
  /** Bytes parsed of a head that is incomplete. */
  #headBytes = 0;
  #keptBytes = 0;
  #current: { req: IncomingMessage; res: ServerResponse } | undefined;
  #isDiscarding = false;
  #isLingering = false;
  #isPaused = false;
  readonly #resumeSocket: () => Socket;
  readonly #resume = () => this.#advance(0);

  constructor(
    socket: Socket,
    { budget, listener }: { budget: TurnBudget; listener: ConnectionListener },
  ) {
    this.socket = socket;
    this.#budget = budget;
    this.#listener = listener;
    this.#parse = this.#replaceDataListener();
    this.#resumeSocket = socket.resume.bind(socket);
    // The server resumes the socket whenever a request is read, although bytes are still kept here.
    socket.resume = () => this.#isPaused ? socket : this.#resumeSocket();
    const destroySoon = socket.destroySoon.bind(socket);
    // Closing a socket with unread bytes resets it, and the client may lose the response.
    socket.destroySoon = () => {
      if (this.#current?.req.complete === false) this.#linger();
      else destroySoon();
    };
    socket.on("drain", this.#resume);
    socket.on("close", () => {
      this.#isDiscarding = true;
      this.#dropAhead();
    });
  }

  /** Whether a response is complete but the client has not read all of it, or a request is incomplete. */
  get waitsForClient(): boolean {
    const { req, res } = this.#current ?? {};
    return req === undefined || !req.complete || res?.writableEnded === true;
  }

  /** Bytes kept that belong to no request under way. */
  get keptBytes(): number {
    return this.#keptBytes;
  }

  /** Called when the head of a request was parsed. */
  begin(req: IncomingMessage, res: ServerResponse): void {
    this.#current = { req, res };
    this.#headBytes = 0;
    this.#listener.onBusy(this);
    res.once("close", () => this.#end(req));
  }

  /** Drops what was sent ahead, and closes the connection once the request under way is answered. */
  refuseAhead(): void {
    this.#isDiscarding = true;
    this.#dropAhead();
    if (this.#current?.req.complete !== true) this.socket.destroy();
  }

  #end(req: IncomingMessage): void {
    if (this.#current?.req !== req) return;
    this.#current = undefined;
    if (this.socket.destroyed) return;
    this.#listener.onWaiting(this);
    if (this.#isDiscarding || !req.complete) this.#linger();
    else if (this.#hasAhead()) this.#budget.defer(this.#resume);
  }

  /** Takes the place of the listener of Node's server, so that bytes can be passed on later. */
  #replaceDataListener(): DataListener {
    const { socket } = this;
    const [parse] = socket.listeners("data") as DataListener[];
    if (parse === undefined) throw new Error("socket has no HTTP parser");
    // Listening for data makes the server remove those of its listeners that stop reading immediately.
    const pausing = socket.listeners("pause") as (() => void)[];
    const resuming = socket.listeners("resume") as (() => void)[];
    socket.removeAllListeners("data");
    socket.on("data", (bytes) => this.#receive(bytes));
    for (const listener of pausing) socket.on("pause", listener);
    for (const listener of resuming) socket.on("resume", listener);
    return parse;
  }

  #receive(bytes: Buffer): void {
    if (this.#isDiscarding) return;
    this.#ahead = this.#hasAhead()
      ? Buffer.concat([this.#ahead.subarray(this.#offset), bytes])
      : bytes;
    this.#offset = 0;
    this.#advance(LINES_PER_READ);
  }

  #hasAhead(): boolean {
    return this.#offset < this.#ahead.length;
  }

  /** Whether the next bytes belong to a request that may be read now. */
  #mayParse(): boolean {
    if (this.#isDiscarding || this.socket.destroyed) return false;
    if (this.#current === undefined) return !this.socket.writableNeedDrain;
    return !this.#current.req.complete;
  }

  /** Parses what may be parsed now, `freeLines` of it whatever else was parsed in this turn. */
  #advance(freeLines: number): void {
    let free = freeLines;
    while (this.#hasAhead() && this.#mayParse()) {
      const { end, lines } = nextLineSlice(this.#ahead, this.#offset);
      if (lines > free && !this.#budget.take(lines)) {
        this.#budget.defer(this.#resume);
        break;
      }
      free -= lines;
      const slice = this.#ahead.subarray(this.#offset, end);
      this.#offset = end;
      if (this.#current === undefined) this.#headBytes += slice.length;
      this.#parse.call(this.socket, slice);
    }
    if (this.#isDiscarding || this.socket.destroyed) return;
    this.#setPaused(this.#hasAhead());
    this.#updateKept();
  }

  #setPaused(isPaused: boolean): void {
    if (isPaused) this.socket.pause();
    else {
      this.#ahead = NO_BYTES;
      this.#offset = 0;
      if (this.#isPaused) this.#resumeSocket();
    }
    this.#isPaused = isPaused;
  }

  #updateKept(): void {
    const kept = this.#ahead.length + this.#headBytes;
    const more = kept - this.#keptBytes;
    if (more === 0) return;
    this.#keptBytes = kept;
    this.#listener.onKept(more);
  }

  #dropAhead(): void {
    this.#ahead = NO_BYTES;
    this.#offset = 0;
    this.#headBytes = 0;
    this.#updateKept();
  }

  /** Sends the end of the connection, and drops what the client still sends for a moment. */
  #linger(): void {
    if (this.#isLingering) return;
    this.#isLingering = true;
    this.#isDiscarding = true;
    this.#dropAhead();
    this.#isPaused = false;
    this.socket.end();
    this.#resumeSocket();
    setTimeout(() => this.socket.destroy(), LINGER_MS).unref();
  }
}
