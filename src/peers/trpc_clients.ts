/** Clients of other VMs by tRPC, one for each address. */

import {
  createTRPCClient,
  type TRPCClient,
  TRPCClientError,
} from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import type { Agent } from "undici";
import { fail, ok, type Result } from "../core/result.ts";
import { meteredAgent, type SocketMeter } from "../runtime/socket_meter.ts";
import { withDeadline } from "../runtime/with_deadline.ts";
import { peerLink } from "./peer_link.ts";
import type { PeerError } from "./peers.ts";

/** Clients kept; more than the entry VMs that are alive at once. */
const MAX_CLIENTS = 1_024;
/** Connections to one entry VM. */
const CONNECTIONS = 2;
/** Idle connections are given up, since each entry VM is probed rarely. */
const KEEP_ALIVE_MS = 60_000;
/** Wait for a connection to another VM; they stand a few milliseconds away. */
const CONNECT_TIMEOUT_MS = 1_000;

/** How clients connect. */
export interface TrpcClientsOptions {
  readonly meter: SocketMeter;
  /** Headers of every call. */
  readonly headers: Readonly<Record<string, string>>;
  /** Address that calls come from, where a VM has several. */
  readonly localAddress: string | undefined;
  /** Whether the servers called read compressed messages. */
  readonly packed: boolean;
}

/** Keeps the clients of one kind of router. */
export class TrpcClients<Router extends AnyTRPCRouter> {
  readonly #headers: Readonly<Record<string, string>>;
  readonly #agent: Agent;
  readonly #packed: boolean;
  readonly #clients = new Map<string, TRPCClient<Router>>();

  constructor({ meter, headers, localAddress, packed }: TrpcClientsOptions) {
    this.#headers = headers;
    this.#packed = packed;
    this.#agent = meteredAgent(meter, {
      localAddress,
      connections: CONNECTIONS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  }

  /** Calls another VM; errors and late answers become results. */
  async call<T>(
    address: string,
    { timeoutMs, ask }: {
      timeoutMs: number;
      ask: (client: TRPCClient<Router>, signal: AbortSignal) => Promise<T>;
    },
  ): Promise<Result<T, PeerError>> {
    try {
      return ok(
        await withDeadline(
          { limitMs: timeoutMs },
          ({ signal }) => ask(this.#client(address), signal),
        ),
      );
    } catch (err) {
      return fail(peerErrorOf(err));
    }
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #client(address: string): TRPCClient<Router> {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
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

function peerErrorOf(err: unknown): PeerError {
  const reason = err instanceof Error ? err.message : String(err);
  const answered = err instanceof TRPCClientError && err.data !== undefined;
  return { tag: answered ? "refused" : "unreachable", reason };
}
