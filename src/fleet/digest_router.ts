/** tRPC procedures that the VMs of a fleet on the users' platform offer each other. */

import { initTRPC } from "@trpc/server";
import {
  type DigestRequest,
  digestRequestSchema,
  type DigestResponse,
} from "../protocol/digest_schema.ts";
import {
  feedRequestSchema,
  type FeedResponse,
} from "../protocol/store_schema.ts";
import {
  type PermitRequest,
  permitRequestSchema,
  type PermitResponse,
} from "../protocol/permit_schema.ts";
import type { StoreFeedHandler } from "./store_feed.ts";

const trpc = initTRPC.create();

/** Merges the digest of another VM and answers with this VM's digest. */
export interface DigestHandler {
  exchange(question: DigestRequest): DigestResponse;
}

/** Grants permits for servers with a rate limit that all VMs share. */
export interface PermitHandler {
  grant(question: PermitRequest): PermitResponse;
}

/** Handlers of the procedures. */
export interface FleetHandlers {
  readonly digestService: DigestHandler;
  readonly storeFeed: StoreFeedHandler;
  readonly permitGranter: PermitHandler;
}

/** Creates the router of one VM. */
export function createDigestRouter(
  { digestService, storeFeed, permitGranter }: FleetHandlers,
) {
  return trpc.router({
    exchange: trpc.procedure.input(digestRequestSchema).mutation(
      ({ input }): DigestResponse => digestService.exchange(input),
    ),
    lend: trpc.procedure.input(permitRequestSchema).mutation(
      ({ input }): PermitResponse => permitGranter.grant(input),
    ),
    feed: trpc.procedure.input(feedRequestSchema).mutation(
      ({ input }): Promise<FeedResponse> => storeFeed.next(input),
    ),
  });
}

/** Router type, from which the client types are inferred. */
export type DigestRouter = ReturnType<typeof createDigestRouter>;

/** Returns the router's procedures as functions that validate their input. */
export function createDigestCaller(handlers: FleetHandlers) {
  return trpc.createCallerFactory(createDigestRouter(handlers))({});
}

/** Type of the functions that `createDigestCaller` returns. */
export type DigestCaller = ReturnType<typeof createDigestCaller>;
