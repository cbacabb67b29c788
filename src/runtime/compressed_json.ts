/** JSON encoding of messages between VMs, compressed above a minimum length. */

import type { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";

/** Value of the `content-encoding` header of a compressed message. */
export const COMPRESSED_ENCODING = "deflate-raw";
/** Shorter texts are not compressed, as they fit into one packet anyway. */
const MIN_CHARS = 500;
/** Fastest level, because CPU time is scarce on VMs. */
const COMPRESSION_LEVEL = 1;

/** A message as it is sent. */
export interface CompressedJson {
  readonly body: string | Buffer;
  /** Undefined if the text is sent uncompressed. */
  readonly encoding: typeof COMPRESSED_ENCODING | undefined;
}

/** Encodes a value as JSON and compresses it if it is long. */
export function encodeJson(value: unknown): CompressedJson {
  const text = JSON.stringify(value);
  if (text.length < MIN_CHARS) return { body: text, encoding: undefined };
  const body = deflateRawSync(text, { level: COMPRESSION_LEVEL });
  return { body, encoding: COMPRESSED_ENCODING };
}

/** Decodes a message; throws if it is not JSON or decompresses to more than `limitBytes`. */
export function decodeJson(
  bytes: Buffer,
  { encoding, limitBytes }: {
    encoding: string | undefined;
    limitBytes: number;
  },
): unknown {
  const decompressed = encoding === COMPRESSED_ENCODING
    ? inflateRawSync(bytes, { maxOutputLength: limitBytes })
    : bytes;
  return JSON.parse(decompressed.toString("utf8"));
}
