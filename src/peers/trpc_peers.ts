/** Client of other entry VMs by tRPC. */

import {
  createTRPCClient,
  httpLink,
  type TRPCClient,
  TRPCClientError,
} from "@trpc/client";
import { type Agent, request } from "undici";
import type { Revision, Sha256 } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import { fail, ok, type Result } from "../core/result.ts";
import {
  type HeadAnswer,
  headAnswerSchema,
  probeAnswerSchema,
  type VmViewAnswer,
  vmViewAnswerSchema,
} from "../protocol/peer_schema.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import { parseAddress } from "../runtime/address.ts";
import { meteredAgent, type SocketMeter } from "../runtime/socket_meter.ts";
import { withDeadline } from "../runtime/with_deadline.ts";
import type { PeerRouter, ProbeAnswer } from "./peer_router.ts";
import type { PeerError, Peers } from "./peers.ts";

/** Clients kept; more than the entry VMs that are alive at once. */
const MAX_CLIENTS = 1_024;
/** Wait for a part of the configuration, which may be large. */
const OBJECT_TIMEOUT_MS = 2_000;
const ANY_HOST = "0.0.0.0";
/** Connections to one entry VM. */
const CONNECTIONS = 2;
/** Idle connections are given up, since each entry VM is probed rarely. */
const KEEP_ALIVE_MS = 60_000;

interface FetchOptions {
  readonly method?: string;
  readonly headers?: unknown;
  readonly body?: unknown;
  readonly signal?: AbortSignal | null;
}

interface PeerResponse {
  readonly ok: boolean;
  readonly status: number;
  json(): Promise<unknown>;
}

interface Deps {
  readonly settings: Settings;
  readonly peerSecret: string;
  readonly peerMeter: SocketMeter;
}

/** One tRPC client for each address. */
export class TrpcPeers implements Peers {
  readonly #deps: Deps;
  readonly #clients = new Map<string, TRPCClient<PeerRouter>>();
  readonly #agent: Agent;

  constructor(deps: Deps) {
    this.#deps = deps;
    // Calls come from the address that peers know, also where a VM has several.
    const { host } = parseAddress(deps.settings.listen.peers);
    this.#agent = meteredAgent(deps.peerMeter, {
      localAddress: host === ANY_HOST ? undefined : host,
      connections: CONNECTIONS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
  }

  probe(
    address: string,
    { news, joining }: { news: readonly Member[]; joining: boolean },
  ): Promise<Result<ProbeAnswer, PeerError>> {
    return this.#call(this.#probeTimeoutMs(), async (signal) => {
      const client = this.#client(address);
      const answer = await client.probe.mutate({ news: [...news], joining }, {
        signal,
      });
      return probeAnswerSchema.parse(answer);
    });
  }

  probeFor(
    address: string,
    target: string,
  ): Promise<Result<boolean, PeerError>> {
    // The asked entry VM waits as long for its own probe.
    const timeoutMs = 2 * this.#probeTimeoutMs();
    return this.#call(
      timeoutMs,
      (signal) => this.#client(address).probeFor.mutate({ target }, { signal }),
    );
  }

  head(
    address: string,
    known: Revision,
  ): Promise<Result<HeadAnswer, PeerError>> {
    return this.#call(
      OBJECT_TIMEOUT_MS,
      async (signal) =>
        headAnswerSchema.parse(
          await this.#client(address).head.query({ known }, { signal }),
        ),
    );
  }

  vmView(
    address: string,
    known: string,
  ): Promise<Result<VmViewAnswer, PeerError>> {
    return this.#call(this.#probeTimeoutMs(), async (signal) => {
      const answer = await this.#client(address).vmView.query({ known }, {
        signal,
      });
      return vmViewAnswerSchema.parse(answer);
    });
  }

  object(address: string, sha256: Sha256): Promise<Result<string, PeerError>> {
    return this.#call(
      OBJECT_TIMEOUT_MS,
      (signal) => this.#client(address).object.query({ sha256 }, { signal }),
    );
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #probeTimeoutMs(): number {
    return this.#deps.settings.peers.probe_timeout_ms;
  }

  async #call<T>(
    timeoutMs: number,
    call: (signal: AbortSignal) => Promise<T>,
  ): Promise<Result<T, PeerError>> {
    try {
      return ok(
        await withDeadline(
          { limitMs: timeoutMs },
          ({ signal }) => call(signal),
        ),
      );
    } catch (err) {
      return fail(peerErrorOf(err));
    }
  }

  #client(address: string): TRPCClient<PeerRouter> {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    if (this.#clients.size >= MAX_CLIENTS) this.#clients.clear();
    const client = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `http://${address}`,
        headers: { authorization: `Bearer ${this.#deps.peerSecret}` },
        fetch: (url, options) =>
          this.#fetch(String(url), options as FetchOptions),
      })],
    });
    this.#clients.set(address, client);
    return client;
  }

  /** tRPC asks for little of `fetch`, and undici's own request costs a third of it. */
  async #fetch(url: string, options: FetchOptions = {}): Promise<PeerResponse> {
    const res = await request(url, {
      method: options.method === "POST" ? "POST" : "GET",
      headers: options.headers as Record<string, string>,
      body: options.body as string | undefined,
      signal: options.signal,
      dispatcher: this.#agent,
    });
    return {
      ok: res.statusCode < 300,
      status: res.statusCode,
      json: () => res.body.json(),
    };
  }
}

function peerErrorOf(err: unknown): PeerError {
  const reason = err instanceof Error ? err.message : String(err);
  const answered = err instanceof TRPCClientError && err.data !== undefined;
  return { tag: answered ? "refused" : "unreachable", reason };
}
