/** tRPC procedures that entry VMs offer each other. */

import { initTRPC, TRPCError } from "@trpc/server";
import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import type { Freshness } from "../core/config/freshness.ts";
import type { PlatformContact } from "../core/config/platform_contact.ts";
import { diffHeads } from "../core/config/head_delta.ts";
import type { Sha256 } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import {
  headRequestSchema,
  type HeadResponse,
  indirectProbeSchema,
  objectRequestSchema,
  probeSchema,
  vmViewRequestSchema,
  type VmViewResponse,
} from "../protocol/peer_schema.ts";
import type { VmViewHolder } from "./vm_view_holder.ts";
import type { Clock } from "../runtime/clock.ts";

/** Dependencies of the procedures. */
export interface PeerRouterDeps {
  readonly memberTable: MemberTable;
  readonly configurationStore: ConfigurationStore;
  readonly vmViewHolder: VmViewHolder;
  readonly freshness: Freshness;
  readonly platformContact: PlatformContact;
  readonly clock: Clock;
  /** Probes another entry VM on behalf of one that cannot reach it. */
  readonly probeFor: (target: string) => Promise<boolean>;
}

/** Answer to a probe. */
export interface ProbeAnswer {
  readonly self: Member;
  readonly news: Member[];
  readonly confirmed_age_ms: number;
  /** Whether this VM has read the head from the platform since it started. */
  readonly is_witness: boolean;
}

/** Stands for "never": JSON cannot represent infinity. */
const MAX_AGE_MS = 1_000_000_000;

const trpc = initTRPC.create();

/** Creates the router of one entry VM. */
export function createPeerRouter(deps: PeerRouterDeps) {
  const { memberTable, configurationStore, freshness, clock } = deps;
  const confirmedAgeMs = () =>
    Math.min(MAX_AGE_MS, freshness.ageMs(clock.monotonicMs()));
  return trpc.router({
    probe: trpc.procedure.input(probeSchema).mutation(
      ({ input }): ProbeAnswer => {
        memberTable.merge(input.news, clock.monotonicMs());
        const news = input.joining
          ? memberTable.everyone()
          : memberTable.nextGossip();
        return {
          self: memberTable.self,
          news,
          confirmed_age_ms: confirmedAgeMs(),
          is_witness: deps.platformContact.hasReadHead,
        };
      },
    ),
    probeFor: trpc.procedure.input(indirectProbeSchema).mutation(({ input }) =>
      deps.probeFor(input.target)
    ),
    head: trpc.procedure.input(headRequestSchema).query(
      ({ input }): HeadResponse => {
        const { head } = configurationStore;
        if (head === undefined) throw new TRPCError({ code: "NOT_FOUND" });
        const known = configurationStore.earlierHead(input.known);
        const delta = known === undefined ? undefined : diffHeads(known, head);
        return delta === undefined ? { head } : { delta };
      },
    ),
    vmView: trpc.procedure.input(vmViewRequestSchema).query(
      ({ input }): VmViewResponse => {
        const { current } = deps.vmViewHolder;
        if (current === undefined) throw new TRPCError({ code: "NOT_FOUND" });
        const view = current.version === input.known ? null : current;
        const { revision } = configurationStore;
        return { view, revision, confirmed_age_ms: confirmedAgeMs() };
      },
    ),
    object: trpc.procedure.input(objectRequestSchema).query(
      ({ input }): string => {
        const text = configurationStore.object(input.sha256 as Sha256)?.text;
        if (text === undefined) throw new TRPCError({ code: "NOT_FOUND" });
        return text;
      },
    ),
  });
}

/** Router type, from which the client types are inferred. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
