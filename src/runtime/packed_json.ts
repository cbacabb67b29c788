/** JSON for messages between VMs, compressed where that is shorter. */

import type { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Value of the header `content-encoding` for a compressed message. */
export const PACKED_ENCODING = "deflate-raw";
/** Shorter texts are sent as they are, in characters: one packet holds them anyway. */
const MIN_CHARS = 500;
/** Fastest level, as VMs are short of processor time. */
const LEVEL = 1;

/** A message as it goes over the wire. */
export interface PackedJson {
  readonly body: string | Buffer;
  /** Undefined where the text is sent as it is. */
  readonly encoding: typeof PACKED_ENCODING | undefined;
}

/** Encodes a value. */
export function packJson(value: unknown): PackedJson {
  const text = JSON.stringify(value);
  if (text.length < MIN_CHARS) return { body: text, encoding: undefined };
  const body = deflateRawSync(text, { level: LEVEL });
  return { body, encoding: PACKED_ENCODING };
}

/** Decodes a message; throws where it is no JSON, or longer than `limitBytes`. */
export function unpackJson(
  bytes: Buffer,
  { encoding, limitBytes }: {
    encoding: string | undefined;
    limitBytes: number;
  },
): unknown {
  const plain = encoding === PACKED_ENCODING
    ? inflateRawSync(bytes, { maxOutputLength: limitBytes })
    : bytes;
  return JSON.parse(plain.toString("utf8"));
}
