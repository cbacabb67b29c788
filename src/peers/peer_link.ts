/** tRPC link that sends each call to another VM as one HTTP request by undici. */

import { Buffer } from "node:buffer";
import { TRPCClientError, type TRPCLink } from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import { request } from "undici";
import {
  COMPRESSED_ENCODING,
  decodeJson,
  encodeJson,
} from "../runtime/compressed_json.ts";
import type { HttpAgent } from "../runtime/http_agent.ts";

/** Connection options of a link. */
export interface PeerLinkOptions {
  /** `http://IP:port`. */
  readonly url: string;
  /** Headers sent with every call. */
  readonly headers: Readonly<Record<string, string>>;
  readonly dispatcher: HttpAgent;
  /** Whether the server accepts compressed requests and may send compressed answers. */
  readonly packed: boolean;
}

/** Maximum size of an answer, also once it is decompressed. */
export const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/** The fields of a tRPC operation that the link uses. */
interface PeerCall {
  readonly type: string;
  readonly path: string;
  readonly input: unknown;
  readonly signal?: AbortSignal | null;
}

/**
 * Replaces tRPC's own HTTP link, without the web `Request` and `FormData`: these slow down the
 * start of the process, and the link would create new ones for each call.
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
    encoding: firstValue(res.headers["content-encoding"]),
    limitBytes: MAX_ANSWER_BYTES,
  }) as { result?: { data?: unknown } };
  // The caller converts an error envelope to a typed tRPC error.
  if (envelope.result === undefined) throw envelope;
  return envelope.result.data;
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}
