/** tRPC client for other entry VMs. */

import type { Revision, Sha256 } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import type { Result } from "../core/result.ts";
import {
  type HeadResponse,
  headResponseSchema,
  probeResponseSchema,
  type VmViewResponse,
  vmViewResponseSchema,
} from "../protocol/peer_schema.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import { parseAddress } from "../runtime/address.ts";
import type { SocketMeter } from "../runtime/socket_meter.ts";
import type { PeerRouter, ProbeAnswer } from "./peer_router.ts";
import type { PeerError, Peers } from "./peers.ts";
import { TrpcClients } from "./trpc_clients.ts";

/** Timeout for a part of the configuration, which may be large. */
const OBJECT_TIMEOUT_MS = 2_000;
const ANY_HOST = "0.0.0.0";

interface Deps {
  readonly settings: Settings;
  readonly peerSecret: string;
  readonly peerMeter: SocketMeter;
}

/** Calls other entry VMs by tRPC, with the shared secret. */
export class TrpcPeers implements Peers {
  readonly #deps: Deps;
  readonly #clients: TrpcClients<PeerRouter>;

  constructor(deps: Deps) {
    this.#deps = deps;
    // A VM with several addresses calls from the one that its peers know.
    const { host } = parseAddress(deps.settings.listen.peers);
    this.#clients = new TrpcClients<PeerRouter>({
      meter: deps.peerMeter,
      headers: { authorization: `Bearer ${deps.peerSecret}` },
      localAddress: host === ANY_HOST ? undefined : host,
      // Entry VMs use tRPC's own server, which accepts uncompressed JSON only.
      packed: false,
    });
  }

  probe(
    address: string,
    { news, joining }: { news: readonly Member[]; joining: boolean },
  ): Promise<Result<ProbeAnswer, PeerError>> {
    return this.#clients.call(address, {
      timeoutMs: this.#probeTimeoutMs(),
      invoke: async (client, signal) => {
        const input = { news: [...news], joining };
        const answer = await client.probe.mutate(input, { signal });
        return probeResponseSchema.parse(answer);
      },
    });
  }

  probeFor(
    address: string,
    target: string,
  ): Promise<Result<boolean, PeerError>> {
    return this.#clients.call(address, {
      // The called entry VM waits up to one timeout for its own probe.
      timeoutMs: 2 * this.#probeTimeoutMs(),
      invoke: (client, signal) =>
        client.probeFor.mutate({ target }, { signal }),
    });
  }

  head(
    address: string,
    known: Revision,
  ): Promise<Result<HeadResponse, PeerError>> {
    return this.#clients.call(address, {
      timeoutMs: OBJECT_TIMEOUT_MS,
      invoke: async (client, signal) =>
        headResponseSchema.parse(
          await client.head.query({ known }, { signal }),
        ),
    });
  }

  vmView(
    address: string,
    known: string,
  ): Promise<Result<VmViewResponse, PeerError>> {
    return this.#clients.call(address, {
      timeoutMs: this.#probeTimeoutMs(),
      invoke: async (client, signal) => {
        const answer = await client.vmView.query({ known }, { signal });
        return vmViewResponseSchema.parse(answer);
      },
    });
  }

  object(address: string, sha256: Sha256): Promise<Result<string, PeerError>> {
    return this.#clients.call(address, {
      timeoutMs: OBJECT_TIMEOUT_MS,
      invoke: (client, signal) => client.object.query({ sha256 }, { signal }),
    });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#clients.close();
  }

  #probeTimeoutMs(): number {
    return this.#deps.settings.peers.probe_timeout_ms;
  }
}
