/** Decodes and encodes the headers of requests and answers. */

import type { IncomingHttpHeaders } from "node:http";
import type {
  AccountId,
  ApiKey,
  AttemptId,
  InstanceId,
  ModelId,
  PromptPartId,
} from "../core/ids.ts";

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

/** Value by which a caller leaves the choice of the model to us. */
const ANY_MODEL = "*";

/** Headers that concern one connection only. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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

/** Request headers that only we may set, and those that we write anew. */
const OWN_REQUEST_HEADERS: ReadonlySet<string> = new Set([
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

/** A part of a prompt that other requests may share. */
export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

/** What we need to know of a caller's request. */
export interface CallerHead {
  readonly attempt: AttemptId | undefined;
  readonly key: ApiKey | undefined;
  /** How long the caller waits, in milliseconds; undefined if it does not say. */
  readonly waitMs: number | undefined;
  /** Undefined where the caller leaves the choice to us, or needs no model. */
  readonly model: ModelId | undefined;
  readonly choosesModel: boolean;
  /** Parts of the prompt in order; the last is the request's or session's own. */
  readonly promptParts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Most tokens that may be generated. */
  readonly outputTokens: number;
  /** Event after which a stream goes on. */
  readonly lastEvent: string | undefined;
}

/** What we need to know of a backend server's answer. */
export interface BackendHead {
  readonly attempt: string | undefined;
  readonly notRun: boolean;
  /** Whether the server vouches for the answer. */
  readonly sealed: boolean;
  /** How good the model takes its answer to be, 0 to 100. */
  readonly confidence: number | undefined;
  readonly encoded: boolean;
  readonly closes: boolean;
  /** How long the server keeps the connection open, if it says so. */
  readonly keepAliveMs: number | undefined;
  /** Whether the length of the body is told, by a number or by chunks. */
  readonly framed: boolean;
  readonly isEvents: boolean;
}

/** Decodes the headers of a caller's request. */
export function decodeCallerHead(headers: IncomingHttpHeaders): CallerHead {
  const model = one(headers[MODEL]);
  const [promptTokens = 0, outputTokens = 0] = (one(headers[TOKENS]) ?? "")
    .split(",").map((text) => nonNegative(text) ?? 0);
  return {
    attempt: one(headers[ATTEMPT]) as AttemptId | undefined,
    key: bearerKey(headers.authorization),
    waitMs: nonNegative(one(headers[DEADLINE])),
    model: model === undefined || model === ANY_MODEL
      ? undefined
      : model as ModelId,
    choosesModel: model === ANY_MODEL,
    promptParts: decodePromptParts(one(headers[PROMPT_PARTS])),
    promptTokens,
    outputTokens,
    lastEvent: one(headers[LAST_EVENT]),
  };
}

/** What is told to a backend server besides the caller's own headers. */
export interface BackendRequestHead {
  readonly host: string;
  readonly instance: InstanceId;
  /** Time that is left, in milliseconds. */
  readonly waitMs: number;
  readonly account: AccountId | undefined;
  /** 0 to 9, 0 is let in first. */
  readonly urgency: number | undefined;
  /** Set where we choose the model. */
  readonly model: ModelId | undefined;
  /** Set where we continue a stream. */
  readonly lastEvent: string | undefined;
}

/** Returns names and values in turn, for a backend server. */
export function encodeBackendRequest(
  rawHeaders: readonly string[],
  head: BackendRequestHead,
): string[] {
  const dropped = namedByConnection(rawHeaders);
  const lines = ["host", head.host];
  for (const [name, value] of pairs(rawHeaders)) {
    const key = name.toLowerCase();
    if (CONNECTION_HEADERS.has(key) || OWN_REQUEST_HEADERS.has(key)) continue;
    if (dropped.has(key)) continue;
    if (key === MODEL && head.model !== undefined) continue;
    if (key === LAST_EVENT && head.lastEvent !== undefined) continue;
    lines.push(name, value);
  }
  lines.push(DEADLINE, String(Math.max(1, Math.floor(head.waitMs))));
  lines.push(EXPECT_INSTANCE, head.instance);
  if (head.account !== undefined) lines.push(ACCOUNT, head.account);
  if (head.urgency !== undefined) lines.push(URGENCY, String(head.urgency));
  if (head.model !== undefined) lines.push(MODEL, head.model);
  if (head.lastEvent !== undefined) lines.push(LAST_EVENT, head.lastEvent);
  return lines;
}

/** Decodes the headers of a backend server's answer. */
export function decodeBackendHead(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): BackendHead {
  const chunked = /\bchunked\b/i.test(one(headers["transfer-encoding"]) ?? "");
  return {
    attempt: one(headers[ATTEMPT]),
    notRun: headers[NOT_RUN] !== undefined,
    sealed: headers[SEAL] !== undefined,
    confidence: nonNegative(one(headers[CONFIDENCE])),
    encoded: headers["content-encoding"] !== undefined,
    closes: /\bclose\b/i.test(one(headers.connection) ?? ""),
    keepAliveMs: keepAliveMs(one(headers["keep-alive"])),
    framed: chunked || headers["content-length"] !== undefined,
    isEvents: (one(headers["content-type"]) ?? "").includes(
      "text/event-stream",
    ),
  };
}

/** Returns the headers of an answer that travel on to the caller. */
export function answerHeadersFor(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const dropped = new Set(
    (one(headers.connection) ?? "").split(",").map((name) =>
      name.trim().toLowerCase()
    ),
  );
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || CONNECTION_HEADERS.has(name)) continue;
    if (name === "content-length" || dropped.has(name)) continue;
    kept[name] = value;
  }
  return kept;
}

/** Headers of an answer of our own. */
export function ownAnswerHeaders(
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
    return { id: id as PromptPartId, tokens: nonNegative(tokens) ?? 0 };
  });
}

function bearerKey(header: string | undefined): ApiKey | undefined {
  const match = /^Bearer\s+(\S+)\s*$/i.exec(header ?? "");
  return match?.[1] as ApiKey | undefined;
}

function keepAliveMs(text: string | undefined): number | undefined {
  const match = /timeout=(\d+)/i.exec(text ?? "");
  return match === null ? undefined : Number(match[1]) * MS_PER_SECOND;
}

function namedByConnection(rawHeaders: readonly string[]): Set<string> {
  const names = new Set<string>();
  for (const [name, value] of pairs(rawHeaders)) {
    if (name.toLowerCase() !== "connection") continue;
    for (const item of value.split(",")) names.add(item.trim().toLowerCase());
  }
  return names;
}

function* pairs(rawHeaders: readonly string[]): Generator<[string, string]> {
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    yield [rawHeaders[at] ?? "", rawHeaders[at + 1] ?? ""];
  }
}

function one(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function nonNegative(text: string | undefined): number | undefined {
  if (text === undefined || text.trim() === "") return undefined;
  const value = Number(text);
  return Number.isFinite(value) && value >= 0 ? value : undefined;
}
