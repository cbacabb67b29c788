/** The way of a tRPC call to another VM: one HTTP request by undici. */

import { Buffer } from "node:buffer";
import { TRPCClientError, type TRPCLink } from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import { type Dispatcher, request } from "undici";
import {
  COMPRESSED_ENCODING,
  decodeJson,
  encodeJson,
} from "../runtime/compressed_json.ts";

/** How a link connects. */
export interface PeerLinkOptions {
  /** `http://IP:port`. */
  readonly url: string;
  /** Headers of every call. */
  readonly headers: Readonly<Record<string, string>>;
  readonly dispatcher: Dispatcher;
  /** Whether the other side reads compressed messages, and may answer so. */
  readonly packed: boolean;
}

/** Longest answer that is read, in bytes. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** A call, as far as the link needs it. */
interface PeerCall {
  readonly type: string;
  readonly path: string;
  readonly input: unknown;
  readonly signal?: AbortSignal | null;
}

/**
 * Does as tRPC's own link for HTTP, without the web's `Request` and `FormData`, which slow a
 * start and would be made anew by each call.
 */
export function peerLink<Router extends AnyTRPCRouter>(
  options: PeerLinkOptions,
): TRPCLink<Router> {
  return () => ({ op }) =>
    observable((observer) => {
      sendCall(options, op).then(
        (data) => {
          observer.next({ result: { type: "data", data } });
          observer.complete();
        },
        (err) => observer.error(TRPCClientError.from(err)),
      );
    });
}

async function sendCall(
  { url, headers, dispatcher, packed }: PeerLinkOptions,
  { type, path, input, signal }: PeerCall,
): Promise<unknown> {
  const isQuery = type === "query";
  const query = isQuery && input !== undefined
    ? `?input=${encodeURIComponent(JSON.stringify(input))}`
    : "";
  const { body, encoding } = packed
    ? encodeJson(input)
    : { body: JSON.stringify(input), encoding: undefined };
  const res = await request(`${url}/${path}${query}`, {
    method: isQuery ? "GET" : "POST",
    headers: {
      ...headers,
      "content-type": "application/json",
      ...(packed ? { "accept-encoding": COMPRESSED_ENCODING } : {}),
      ...(encoding === undefined ? {} : { "content-encoding": encoding }),
    },
    body: isQuery ? undefined : body,
    signal: signal ?? undefined,
    dispatcher,
  });
  const envelope = decodeJson(Buffer.from(await res.body.arrayBuffer()), {
    encoding: one(res.headers["content-encoding"]),
    limitBytes: MAX_ANSWER_BYTES,
  }) as { result?: { data?: unknown } };
  // An error's envelope becomes a typed error of tRPC.
  if (envelope.result === undefined) throw envelope;
  return envelope.result.data;
}

function one(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
