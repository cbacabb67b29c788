/** HTTP server for the calls of other entry VMs, authenticated by a shared secret. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import type { Settings } from "../protocol/settings_schema.ts";
import { parseAddress } from "../runtime/address.ts";
import { ConnectionGuard } from "../runtime/connection_guard.ts";
import { boundAddress } from "../runtime/listen.ts";
import { sha256 } from "../runtime/hashing.ts";
import type { SocketMeter } from "../runtime/socket_meter.ts";
import { createPeerRouter, type PeerRouterDeps } from "./peer_router.ts";

const MAX_BODY_BYTES = 2 * 1024 * 1024;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const MAX_BYTES_AHEAD = 8 * 1_024 * 1_024;

interface Deps extends PeerRouterDeps {
  readonly settings: Settings;
  readonly peerSecret: string;
  readonly peerMeter: SocketMeter;
}

/** Serves calls of other entry VMs that send the shared secret. */
export class PeerServer {
  readonly #server: Server;
  readonly #address: string;
  readonly #secretHash: Buffer;

  constructor(deps: Deps) {
    this.#address = deps.settings.listen.peers;
    this.#secretHash = Buffer.from(sha256(deps.peerSecret));
    const handle = createHTTPHandler({
      router: createPeerRouter(deps),
      maxBodySize: MAX_BODY_BYTES,
    });
    this.#server = createServer((req, res) => {
      if (this.#hasValidSecret(req)) handle(req, res);
      else sendUnauthorized(res);
    });
    new ConnectionGuard(this.#server, {
      maxConnections: deps.settings.limits.max_peer_connections,
      maxBytesAhead: MAX_BYTES_AHEAD,
    });
    this.#server.on("connection", (socket) => deps.peerMeter.track(socket));
    this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  }

  /** Starts listening; returns the bound address. */
  listen(): Promise<string> {
    const { host, port } = parseAddress(this.#address);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(
        port,
        host,
        () => resolve(boundAddress(this.#server)),
      );
    });
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  /** Compares hashes, since `timingSafeEqual` requires buffers of equal length. */
  #hasValidSecret(req: IncomingMessage): boolean {
    const header = req.headers.authorization ?? "";
    const hash = Buffer.from(sha256(header.replace(/^Bearer /, "")));
    return timingSafeEqual(hash, this.#secretHash);
  }
}

function sendUnauthorized(res: ServerResponse): void {
  res.writeHead(401, { "content-type": "application/json" });
  res.end(
    '{"error":{"message":"Invalid peer secret; check peers.secret_file"}}',
  );
}
