/** What entry VMs may ask of each other, by tRPC. */

import { initTRPC, TRPCError } from "@trpc/server";
import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import type { Head } from "../core/config/stored_configuration.ts";
import type { Sha256 } from "../core/ids.ts";
import type { Member } from "../core/membership/member.ts";
import type { MemberTable } from "../core/membership/member_table.ts";
import {
  indirectProbeSchema,
  objectRequestSchema,
  probeSchema,
} from "../protocol/peer_schema.ts";
import type { Clock } from "../runtime/clock.ts";

/** What the procedures work on. */
export interface PeerRouterDeps {
  readonly memberTable: MemberTable;
  readonly configurationStore: ConfigurationStore;
  readonly clock: Clock;
  /** Probes another entry VM for one that cannot reach it. */
  readonly probeFor: (target: string) => Promise<boolean>;
}

/** Answer to a probe. */
export interface ProbeAnswer {
  readonly self: Member;
  readonly news: Member[];
}

const trpc = initTRPC.create();

/** Returns the router of one entry. */
export function createPeerRouter(deps: PeerRouterDeps) {
  const { memberTable, configurationStore, clock } = deps;
  return trpc.router({
    probe: trpc.procedure.input(probeSchema).mutation(
      ({ input }): ProbeAnswer => {
        memberTable.merge(input.news, clock.monotonicMs());
        const news = input.joining
          ? memberTable.everyone()
          : memberTable.newsToTell();
        return { self: memberTable.self, news };
      },
    ),
    probeFor: trpc.procedure.input(indirectProbeSchema).mutation(({ input }) =>
      deps.probeFor(input.target)
    ),
    head: trpc.procedure.query((): Head => {
      const { head } = configurationStore;
      if (head === undefined) throw new TRPCError({ code: "NOT_FOUND" });
      return head;
    }),
    object: trpc.procedure.input(objectRequestSchema).query(
      ({ input }): string => {
        const text = configurationStore.objectText(input.sha256 as Sha256);
        if (text === undefined) throw new TRPCError({ code: "NOT_FOUND" });
        return text;
      },
    ),
  });
}

/** Type of the router, from which the client's types follow. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
