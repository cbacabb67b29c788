/** Encodes and decodes the headers of requests and responses. */

import type { IncomingHttpHeaders } from "node:http";
import type {
  AccountId,
  ApiKey,
  AttemptId,
  InstanceId,
  ModelId,
  PromptPartId,
} from "../core/ids.ts";
import { isFramed } from "../runtime/response_framing.ts";

const ATTEMPT = "fieldrack-attempt-id";
const DEADLINE = "fieldrack-deadline-ms";
const EXPECT_INSTANCE = "fieldrack-expect-instance";
const ACCOUNT = "fieldrack-tenant";
const MODEL = "fieldrack-model";
const TOKENS = "fieldrack-token-usage";
const PROMPT_PARTS = "fieldrack-prefix-hash";
const URGENCY = "fieldrack-urgency-class";
const CONFIDENCE = "fieldrack-confidence";
const NOT_RUN = "fieldrack-not-processed";
const SEAL = "fieldrack-server-seal";
const LAST_EVENT = "last-event-id";
const MS_PER_SECOND = 1_000;

/** Sent by a caller that leaves the choice of the model to the router. */
const ANY_MODEL = "*";

/** Headers that apply to a single connection and are never forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Request headers that are not forwarded because only the router may set or rewrite them. */
const RESERVED_HEADERS: ReadonlySet<string> = new Set([
  DEADLINE,
  EXPECT_INSTANCE,
  ACCOUNT,
  URGENCY,
  "fieldrack-hold",
  "fieldrack-pin-ms",
  "fieldrack-kv-backup",
  "fieldrack-expect-version",
  "kv-from",
  "kv-fetch",
  "authorization",
  "content-length",
  "expect",
  "host",
]);

/** A prompt prefix segment that other requests may share. */
export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

/** Decoded headers of a caller's request. */
export interface CallerHead {
  readonly attempt: AttemptId | undefined;
  readonly key: ApiKey | undefined;
  /** How long the caller waits for the response, in milliseconds; undefined if not specified. */
  readonly timeoutMs: number | undefined;
  /** Undefined if the caller leaves the choice to the router or needs no model. */
  readonly model: ModelId | undefined;
  /** Whether the caller leaves the choice of the model to the router. */
  readonly anyModel: boolean;
  /** Prompt segments in order; the last one belongs to this request or session alone. */
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Maximum number of tokens to generate. */
  readonly maxOutputTokens: number;
  /** Id of the last event received, after which the stream is to be resumed. */
  readonly lastEventId: string | undefined;
}

/** Decoded headers of a backend server's response. */
export interface BackendHead {
  readonly attempt: string | undefined;
  /** Whether the server declares that it did not process the request. */
  readonly notProcessed: boolean;
  /** Whether the response carries the server's seal, which confirms that the server produced it. */
  readonly hasSeal: boolean;
  /** The model's confidence in its answer, from 0 to 100. */
  readonly confidence: number | undefined;
  readonly encoded: boolean;
  readonly closesConnection: boolean;
  /** How long the server keeps an idle connection open, if specified. */
  readonly keepAliveMs: number | undefined;
  /** Whether the end of the body can be detected, by `content-length` or chunked encoding. */
  readonly framed: boolean;
  readonly isEventStream: boolean;
}

/** Decodes the headers of a caller's request. */
export function decodeCallerHead(headers: IncomingHttpHeaders): CallerHead {
  const model = firstValue(headers[MODEL]);
  const [promptTokens = 0, maxOutputTokens = 0] =
    (firstValue(headers[TOKENS]) ?? "")
      .split(",").map((text) => parseNonNegative(text) ?? 0);
  return {
    attempt: firstValue(headers[ATTEMPT]) as AttemptId | undefined,
    key: parseBearerKey(headers.authorization),
    timeoutMs: parseNonNegative(firstValue(headers[DEADLINE])),
    model: model === undefined || model === ANY_MODEL
      ? undefined
      : model as ModelId,
    anyModel: model === ANY_MODEL,
    promptParts: decodePromptParts(firstValue(headers[PROMPT_PARTS])),
    promptTokens,
    maxOutputTokens,
    lastEventId: firstValue(headers[LAST_EVENT]),
  };
}

/** Values that the router sends to a backend server in addition to the caller's headers. */
export interface BackendRequestHead {
  readonly host: string;
  readonly instance: InstanceId;
  /** Time left until the request's deadline, in milliseconds. */
  readonly remainingMs: number;
  readonly account: AccountId | undefined;
  /** From 0 to 9; 0 is admitted first. */
  readonly urgency: number | undefined;
  /** Set if the router chooses the model. */
  readonly model: ModelId | undefined;
  /** Set if the router resumes a stream. */
  readonly lastEventId: string | undefined;
}

/** Returns the headers for a backend server as a flat list of alternating names and values. */
export function encodeBackendRequestHeaders(
  rawHeaders: readonly string[],
  head: BackendRequestHead,
): string[] {
  const dropped = connectionHeaderNames(rawHeaders);
  const lines = ["host", head.host];
  for (const [name, value] of headerPairs(rawHeaders)) {
    const key = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(key) || RESERVED_HEADERS.has(key)) continue;
    if (dropped.has(key)) continue;
    if (key === MODEL && head.model !== undefined) continue;
    if (key === LAST_EVENT && head.lastEventId !== undefined) continue;
    lines.push(name, value);
  }
  lines.push(DEADLINE, String(Math.max(1, Math.floor(head.remainingMs))));
  lines.push(EXPECT_INSTANCE, head.instance);
  if (head.account !== undefined) lines.push(ACCOUNT, head.account);
  if (head.urgency !== undefined) lines.push(URGENCY, String(head.urgency));
  if (head.model !== undefined) lines.push(MODEL, head.model);
  if (head.lastEventId !== undefined) lines.push(LAST_EVENT, head.lastEventId);
  return lines;
}

/** Headers that another VM must not receive, as its own connection determines them. */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  DEADLINE,
  "content-length",
  "expect",
  "host",
]);

/** Returns the headers of a caller's request for another VM, as alternating names and values. */
export function encodeForwardedRequestHeaders(
  rawHeaders: readonly string[],
  { host, remainingMs }: Pick<BackendRequestHead, "host" | "remainingMs">,
): string[] {
  const dropped = connectionHeaderNames(rawHeaders);
  const lines = ["host", host];
  for (const [name, value] of headerPairs(rawHeaders)) {
    const key = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(key) || UNFORWARDED_HEADERS.has(key)) continue;
    if (!dropped.has(key)) lines.push(name, value);
  }
  lines.push(DEADLINE, String(Math.max(1, Math.floor(remainingMs))));
  return lines;
}

/** Decodes the headers of a backend server's response. */
export function decodeBackendHead(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): BackendHead {
  return {
    attempt: distinctValues(headers[ATTEMPT]),
    notProcessed: headers[NOT_RUN] !== undefined,
    hasSeal: headers[SEAL] !== undefined,
    confidence: parseNonNegative(firstValue(headers[CONFIDENCE])),
    encoded: headers["content-encoding"] !== undefined,
    closesConnection: /\bclose\b/i.test(firstValue(headers.connection) ?? ""),
    keepAliveMs: parseKeepAliveMs(firstValue(headers["keep-alive"])),
    framed: isFramed(headers),
    isEventStream: (firstValue(headers["content-type"]) ?? "").includes(
      "text/event-stream",
    ),
  };
}

/** Returns the headers of a backend server's response that are forwarded to the caller. */
export function forwardedResponseHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const dropped = new Set(
    (firstValue(headers.connection) ?? "").split(",").map((name) =>
      name.trim().toLowerCase()
    ),
  );
  const forwarded: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
    if (name === "content-length" || dropped.has(name)) continue;
    forwarded[name] = value;
  }
  return forwarded;
}

/** Returns headers for a response that the router generates itself. */
export function localResponseHeaders(
  { attempt, retryAfterMs }: {
    attempt: string | undefined;
    retryAfterMs: number | undefined;
  },
): Record<string, string> {
  const headers: Record<string, string> = {};
  if (attempt !== undefined) headers[ATTEMPT] = attempt;
  if (retryAfterMs !== undefined) {
    headers["retry-after"] = (retryAfterMs / MS_PER_SECOND).toFixed(3);
  }
  return headers;
}

function decodePromptParts(text: string | undefined): PromptPart[] {
  if (text === undefined || text === "") return [];
  return text.split(",").map((part) => {
    const [id = "", tokens = ""] = part.trim().split(":");
    return { id: id as PromptPartId, tokens: parseNonNegative(tokens) ?? 0 };
  });
}

function parseBearerKey(header: string | undefined): ApiKey | undefined {
  const match = /^Bearer\s+(\S+)\s*$/i.exec(header ?? "");
  return match?.[1] as ApiKey | undefined;
}

function parseKeepAliveMs(text: string | undefined): number | undefined {
  const match = /timeout=(\d+)/i.exec(text ?? "");
  return match === null ? undefined : Number(match[1]) * MS_PER_SECOND;
}

function connectionHeaderNames(rawHeaders: readonly string[]): Set<string> {
  const names = new Set<string>();
  for (const [name, value] of headerPairs(rawHeaders)) {
    if (name.toLowerCase() !== "connection") continue;
    for (const item of value.split(",")) names.add(item.trim().toLowerCase());
  }
  return names;
}

function* headerPairs(
  rawHeaders: readonly string[],
): Generator<[string, string]> {
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    yield [rawHeaders[at] ?? "", rawHeaders[at + 1] ?? ""];
  }
}

/** Several values that differ are returned as a list, which equals no single one. */
function distinctValues(
  value: string | string[] | undefined,
): string | undefined {
  return Array.isArray(value) ? [...new Set(value)].join(", ") : value;
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function parseNonNegative(text: string | undefined): number | undefined {
  if (text === undefined || text.trim() === "") return undefined;
  const value = Number(text);
  return Number.isFinite(value) && value >= 0 ? value : undefined;
}
