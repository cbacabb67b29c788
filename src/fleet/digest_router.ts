/** What VMs on the users' platform may ask of each other, by tRPC. */

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
import type { StoreNews } from "./store_feed.ts";

const trpc = initTRPC.create();

/** Takes in what another VM tells, and tells in turn. */
export interface DigestExchange {
  exchange(question: DigestRequest): DigestResponse;
}

/** Lends places at servers that take only so much from all VMs together. */
export interface PlaceLending {
  lend(question: PermitRequest): PermitResponse;
}

/** What answers the questions of other VMs. */
export interface DigestAnswerers {
  readonly digestKeeper: DigestExchange;
  readonly storeFeed: StoreNews;
  readonly placeLender: PlaceLending;
}

/** Returns the router of one VM. */
export function createDigestRouter(
  { digestKeeper, storeFeed, placeLender }: DigestAnswerers,
) {
  return trpc.router({
    exchange: trpc.procedure.input(digestRequestSchema).mutation(
      ({ input }): DigestResponse => digestKeeper.exchange(input),
    ),
    lend: trpc.procedure.input(permitRequestSchema).mutation(
      ({ input }): PermitResponse => placeLender.lend(input),
    ),
    feed: trpc.procedure.input(feedRequestSchema).mutation(
      ({ input }): Promise<FeedResponse> => storeFeed.next(input),
    ),
  });
}

/** Type of the router, from which the client's types follow. */
export type DigestRouter = ReturnType<typeof createDigestRouter>;

/** Returns the router's procedures as functions that check what they are given. */
export function createDigestCaller(answerers: DigestAnswerers) {
  return trpc.createCallerFactory(createDigestRouter(answerers))({});
}

/** Type of those functions. */
export type DigestCaller = ReturnType<typeof createDigestCaller>;
