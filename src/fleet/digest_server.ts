/** HTTP server for the calls of other VMs of the fleet. */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { TRPCError } from "@trpc/server";
import { FORWARD_ORIGIN_HEADER } from "../protocol/forward_schema.ts";
import { BodyMemory } from "../core/limits/body_memory.ts";
import {
  memoryShare,
  socketShare,
  type VmSize,
} from "../core/limits/vm_shares.ts";
import { parseAddress } from "../runtime/address.ts";
import {
  COMPRESSED_ENCODING,
  decodeJson,
  encodeJson,
} from "../runtime/compressed_json.ts";
import {
  type CloseReason,
  ConnectionGuard,
} from "../runtime/connection_guard.ts";
import { BlockBuffer } from "../runtime/block_buffer.ts";
import {
  createDigestCaller,
  type DigestCaller,
  type FleetHandlers,
} from "./digest_router.ts";

const MAX_BODY_BYTES = 1024 * 1024;
/** As large as callers may send them, as forwarded requests carry the headers of callers. */
const MAX_HEADER_BYTES = 65_536;
/** Longer than the interval between two exchanges of a pair of VMs in a large fleet. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
/** Serves requests that other VMs forward for their callers. */
export interface ForwardHandler {
  handleForwarded(req: IncomingMessage, res: ServerResponse): Promise<void>;
}

/** What the server needs besides the handlers of its procedures. */
export interface DigestServerDeps {
  readonly requestServer: ForwardHandler;
  readonly vmSettings: VmSize;
  readonly closedConnections: {
    listener(name: "peers"): (reason: CloseReason) => void;
  };
}

/** Procedures by the request path of tRPC clients. */
const PROCEDURES = {
  "/exchange": "exchange",
  "/feed": "feed",
  "/lend": "lend",
} as const;
/** Numeric error code in tRPC's envelope; clients use the code name instead. */
const UNSPECIFIED_CODE = -1;

/**
 * Serves other VMs. tRPC's own server converts Node's requests and responses to web ones, which
 * costs CPU time even in idle fleets, so this server passes bodies to the procedures directly.
 */
export class DigestServer {
  readonly #server: Server;
  readonly #caller: DigestCaller;
  readonly #bodies: BodyMemory;
  readonly #forwardHandler: ForwardHandler;

  constructor(
    {
      digestService,
      storeFeed,
      permitGranter,
      requestServer,
      vmSettings,
      closedConnections,
    }: FleetHandlers & DigestServerDeps,
  ) {
    this.#forwardHandler = requestServer;
    this.#caller = createDigestCaller({
      digestService,
      storeFeed,
      permitGranter,
    });
    this.#server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES },
      (req, res) => void this.#handle(req, res),
    );
    this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    this.#bodies = new BodyMemory({
      limitBytes: memoryShare(vmSettings, "peer_bodies"),
      smallBytes: 0,
    });
    new ConnectionGuard(this.#server, {
      maxConnections: socketShare(vmSettings, "peer_connections"),
      maxBytesAhead: memoryShare(vmSettings, "other_bytes_ahead"),
      onClosed: closedConnections.listener("peers"),
    });
  }

  /** Starts listening on `host:port`. */
  listen(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.headers[FORWARD_ORIGIN_HEADER] !== undefined) {
      return await this.#forwardHandler.handleForwarded(req, res);
    }
    const packed = req.headers["accept-encoding"] === COMPRESSED_ENCODING;
    try {
      const data = await this.#answer(req);
      send(res, { status: 200, body: { result: { data } }, packed });
    } catch (err) {
      send(res, { ...errorAnswer(err), packed });
    }
  }

  async #answer(req: IncomingMessage): Promise<unknown> {
    const procedure = PROCEDURES[req.url as keyof typeof PROCEDURES];
    if (req.method !== "POST" || procedure === undefined) {
      const paths = Object.keys(PROCEDURES).join(" or ");
      throw new TRPCError({
        code: "NOT_FOUND",
        message: `No such endpoint; use POST ${paths}`,
      });
    }
    const body = await this.#readBody(req);
    return await this.#caller[procedure](
      parseBody(body, req.headers["content-encoding"]),
    );
  }

  /** Reads a body, which takes memory of all bodies only until it is complete. */
  async #readBody(req: IncomingMessage): Promise<Buffer> {
    const reservation = this.#bodies.open(() => req.destroy());
    const buffer = new BlockBuffer({
      maxBytes: MAX_BODY_BYTES,
      reserve: (bytes) => reservation.growTo(bytes),
    });
    try {
      for await (const chunk of req as AsyncIterable<Buffer>) {
        if (buffer.append(chunk)) continue;
        const isTooLarge = buffer.length + chunk.length > MAX_BODY_BYTES;
        throw new TRPCError({
          code: isTooLarge ? "PAYLOAD_TOO_LARGE" : "TOO_MANY_REQUESTS",
          message: isTooLarge
            ? `Request body exceeds ${MAX_BODY_BYTES} bytes`
            : "Bodies of other requests use up the memory for them",
        });
      }
    } finally {
      reservation.release();
    }
    return buffer.bytes();
  }
}

/** Parses JSON only; the procedure validates the value. */
function parseBody(bytes: Buffer, encoding: string | undefined): never {
  try {
    return decodeJson(bytes, { encoding, limitBytes: MAX_BODY_BYTES }) as never;
  } catch (err) {
    throw new TRPCError({
      code: "PARSE_ERROR",
      message: `Request body is not valid JSON: ${(err as Error).message}`,
      cause: err,
    });
  }
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

interface SentAnswer extends Answer {
  /** Whether the client accepts compressed answers. */
  readonly packed: boolean;
}

/** Returns the error in tRPC's envelope. */
function errorAnswer(err: unknown): Answer {
  const error = err instanceof TRPCError
    ? err
    : new TRPCError({ code: "INTERNAL_SERVER_ERROR", cause: err });
  const { code, message } = error;
  const status = code === "INTERNAL_SERVER_ERROR" ? 500 : 400;
  const data = { code, httpStatus: status };
  return { status, body: { error: { message, code: UNSPECIFIED_CODE, data } } };
}

function send(res: ServerResponse, { status, body, packed }: SentAnswer): void {
  const answer = packed
    ? encodeJson(body)
    : { body: JSON.stringify(body), encoding: undefined };
  res.writeHead(status, {
    "content-type": "application/json",
    ...(answer.encoding === undefined
      ? {}
      : { "content-encoding": answer.encoding }),
  });
  res.end(answer.body);
}
