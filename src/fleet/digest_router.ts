/** tRPC procedures that the VMs of a fleet on the users' platform offer each other. */

import { initTRPC } from "@trpc/server";
import {
  type DigestAnswer,
  type DigestQuestion,
  digestQuestionSchema,
} from "../protocol/digest_schema.ts";
import {
  type FeedAnswer,
  feedQuestionSchema,
} from "../protocol/store_schema.ts";
import {
  type PlaceAnswer,
  type PlaceQuestion,
  placeQuestionSchema,
} from "../protocol/place_schema.ts";
import type { StoreFeedHandler } from "./store_feed.ts";

const trpc = initTRPC.create();

/** Merges the digest of another VM and answers with this VM's digest. */
export interface DigestHandler {
  exchange(question: DigestQuestion): DigestAnswer;
}

/** Grants permits for servers with a rate limit that all VMs share. */
export interface PermitHandler {
  grant(question: PlaceQuestion): PlaceAnswer;
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
    exchange: trpc.procedure.input(digestQuestionSchema).mutation(
      ({ input }): DigestAnswer => digestService.exchange(input),
    ),
    lend: trpc.procedure.input(placeQuestionSchema).mutation(
      ({ input }): PlaceAnswer => permitGranter.grant(input),
    ),
    feed: trpc.procedure.input(feedQuestionSchema).mutation(
      ({ input }): Promise<FeedAnswer> => storeFeed.next(input),
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
