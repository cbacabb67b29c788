/** JSON for messages between VMs, compressed where that is shorter. */

import type { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Value of the header `content-encoding` for a compressed message. */
export const COMPRESSED_ENCODING = "deflate-raw";
/** Shorter texts are sent as they are, in characters: one packet holds them anyway. */
const MIN_CHARS = 500;
/** Fastest level, as VMs are short of processor time. */
const LEVEL = 1;

/** A message as it goes over the wire. */
export interface CompressedJson {
  readonly body: string | Buffer;
  /** Undefined where the text is sent as it is. */
  readonly encoding: typeof COMPRESSED_ENCODING | undefined;
}

/** Encodes a value. */
export function encodeJson(value: unknown): CompressedJson {
  const text = JSON.stringify(value);
  if (text.length < MIN_CHARS) return { body: text, encoding: undefined };
  const body = deflateRawSync(text, { level: LEVEL });
  return { body, encoding: COMPRESSED_ENCODING };
}

/** Decodes a message; throws where it is no JSON, or longer than `limitBytes`. */
export function decodeJson(
  bytes: Buffer,
  { encoding, limitBytes }: {
    encoding: string | undefined;
    limitBytes: number;
  },
): unknown {
  const plain = encoding === COMPRESSED_ENCODING
    ? inflateRawSync(bytes, { maxOutputLength: limitBytes })
    : bytes;
  return JSON.parse(plain.toString("utf8"));
}
