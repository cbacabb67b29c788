/** What VMs on the users' platform may ask of each other, by tRPC. */

import { initTRPC } from "@trpc/server";
import { digestSchema, type VmDigest } from "../protocol/digest_schema.ts";

const trpc = initTRPC.create();

/** Takes in what another VM tells, and tells in turn. */
export interface DigestExchange {
  exchange(told: VmDigest): VmDigest;
}

/** Returns the router of one VM. */
export function createDigestRouter(digests: DigestExchange) {
  return trpc.router({
    exchange: trpc.procedure.input(digestSchema).mutation(
      ({ input }): VmDigest => digests.exchange(input),
    ),
  });
}

/** Type of the router, from which the client's types follow. */
export type DigestRouter = ReturnType<typeof createDigestRouter>;
