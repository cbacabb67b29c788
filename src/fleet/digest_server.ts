/** The HTTP server by which other VMs exchange digests with this one. */

import { createServer, type Server } from "node:http";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { parseAddress } from "../runtime/address.ts";
import { createDigestRouter, type DigestExchange } from "./digest_router.ts";

const MAX_BODY_BYTES = 1024 * 1024;
/** Longer than the pause between two exchanges of a pair of VMs in a large fleet. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** Serves other VMs. */
export class DigestServer {
  readonly #server: Server;

  constructor({ digestKeeper }: { digestKeeper: DigestExchange }) {
    this.#server = createServer(createHTTPHandler({
      router: createDigestRouter(digestKeeper),
      maxBodySize: MAX_BODY_BYTES,
    }));
    this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  }

  /** Starts to listen. */
  listen(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  /** Ends all connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}
