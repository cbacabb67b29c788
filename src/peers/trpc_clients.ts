/** tRPC clients for other VMs, one per address. */

import {
  createTRPCClient,
  type TRPCClient,
  TRPCClientError,
} from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import { fail, ok, type Result } from "../core/result.ts";
import { HttpAgent } from "../runtime/http_agent.ts";
import type { SocketMeter } from "../runtime/socket_meter.ts";
import { withDeadline } from "../runtime/with_deadline.ts";
import { MAX_ANSWER_BYTES, peerLink } from "./peer_link.ts";
import type { PeerError } from "./peers.ts";

/** Maximum number of cached clients; more than the entry VMs that are alive at the same time. */
const MAX_CLIENTS = 1_024;
/** Maximum number of connections to one VM. */
const MAX_CONNECTIONS_PER_VM = 2;
/** Idle connections are closed after this time, since each entry VM is probed rarely. */
const KEEP_ALIVE_MS = 60_000;
/** Timeout of a connection attempt; round trips between VMs take a few milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Connection options of the clients. */
export interface TrpcClientsOptions {
  readonly meter: SocketMeter;
  /** Headers sent with every call. */
  readonly headers: Readonly<Record<string, string>>;
  /** Local address to connect from, if the VM has several. */
  readonly localAddress: string | undefined;
  /** Whether the servers accept compressed requests. */
  readonly packed: boolean;
}

/** Caches the clients for one type of router. */
export class TrpcClients<Router extends AnyTRPCRouter> {
  readonly #headers: Readonly<Record<string, string>>;
  readonly #agent: HttpAgent;
  readonly #packed: boolean;
  readonly #clients = new Map<string, TRPCClient<Router>>();

  constructor({ meter, headers, localAddress, packed }: TrpcClientsOptions) {
    this.#headers = headers;
    this.#packed = packed;
    this.#agent = new HttpAgent({
      meter,
      localAddress,
      connections: MAX_CONNECTIONS_PER_VM,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      maxResponseSize: MAX_ANSWER_BYTES,
    });
  }

  /** Calls another VM; errors and timeouts are returned as results. */
  async call<T>(
    address: string,
    { timeoutMs, invoke }: {
      timeoutMs: number;
      invoke: (client: TRPCClient<Router>, signal: AbortSignal) => Promise<T>;
    },
  ): Promise<Result<T, PeerError>> {
    try {
      return ok(
        await withDeadline(
          { limitMs: timeoutMs },
          ({ signal }) => invoke(this.#client(address), signal),
        ),
      );
    } catch (err) {
      return fail(toPeerError(err));
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #client(address: string): TRPCClient<Router> {
    const cached = this.#clients.get(address);
    if (cached !== undefined) return cached;
    if (this.#clients.size >= MAX_CLIENTS) this.#clients.clear();
    const link = peerLink<Router>({
      url: `http://${address}`,
      headers: this.#headers,
      dispatcher: this.#agent,
      packed: this.#packed,
    });
    const client = createTRPCClient<Router>({ links: [link] });
    this.#clients.set(address, client);
    return client;
  }
}

function toPeerError(err: unknown): PeerError {
  const reason = err instanceof Error ? err.message : String(err);
  const answered = err instanceof TRPCClientError && err.data !== undefined;
  return { tag: answered ? "refused" : "unreachable", reason };
}
