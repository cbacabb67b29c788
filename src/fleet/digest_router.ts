/** What VMs on the users' platform may ask of each other, by tRPC. */

import { initTRPC } from "@trpc/server";
import {
  type DigestAnswer,
  type DigestQuestion,
  digestQuestionSchema,
} from "../protocol/digest_schema.ts";

const trpc = initTRPC.create();

/** Takes in what another VM tells, and tells in turn. */
export interface DigestExchange {
  exchange(question: DigestQuestion): DigestAnswer;
}

/** Returns the router of one VM. */
export function createDigestRouter(digests: DigestExchange) {
  return trpc.router({
    exchange: trpc.procedure.input(digestQuestionSchema).mutation(
      ({ input }): DigestAnswer => digests.exchange(input),
    ),
  });
}

/** Type of the router, from which the client's types follow. */
export type DigestRouter = ReturnType<typeof createDigestRouter>;

/** Returns the router's procedures as functions that check what they are given. */
export function createDigestCaller(digests: DigestExchange) {
  return trpc.createCallerFactory(createDigestRouter(digests))({});
}

/** Type of those functions. */
export type DigestCaller = ReturnType<typeof createDigestCaller>;
