/** HTTP client of the platform's object API. */

import { type Dispatcher, request } from "undici";
import type * as z from "zod";
import { fail, ok, type Result } from "../core/result.ts";
import {
  platformConflictSchema,
  platformKeysSchema,
  type PlatformObject,
  platformObjectSchema,
  platformWriteSchema,
  vmListSchema,
} from "../protocol/platform_schema.ts";
import type { Deadline } from "../runtime/deadline.ts";
import { withDeadline } from "../runtime/with_deadline.ts";
import { HttpAgent } from "../runtime/http_agent.ts";
import type { SocketMeter } from "../runtime/socket_meter.ts";
import type {
  CallLimits,
  ListVmsInput,
  ListVmsResult,
  Platform,
  PlatformError,
  WatchInput,
  WriteInput,
} from "./platform.ts";

const DEFAULT_RETRY_AFTER_MS = 1_000;
/** A pending watch occupies one connection; all other calls share the remaining ones. */
const MAX_CONNECTIONS = 4;
/** Added to the requested wait of a watch before the client times it out. */
const WATCH_TIMEOUT_MARGIN_MS = 1_000;

interface PlatformRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly timeoutMs: number;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly signal?: AbortSignal;
}

interface PlatformResponse {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfterMs: number;
  readonly etag: string;
}

/** Far more than any configuration and its fleet state. */
const MAX_RESPONSE_BYTES = 64 * 1_024 * 1_024;

/** Client of the platform's object API. */
export class HttpPlatform implements Platform {
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #agent: HttpAgent;
  #calls = 0;

  constructor(
    { url, timeoutMs, meter }: {
      url: string;
      timeoutMs: number;
      meter?: SocketMeter;
    },
  ) {
    this.#agent = new HttpAgent({
      meter,
      connections: MAX_CONNECTIONS,
      maxResponseSize: MAX_RESPONSE_BYTES,
    });
    this.#url = url.replace(/\/$/, "");
    this.#timeoutMs = timeoutMs;
  }

  /** Number of calls made so far, including watches. */
  get calls(): number {
    return this.#calls;
  }

  async get(
    key: string,
    limits: CallLimits = {},
  ): Promise<Result<PlatformObject, PlatformError>> {
    const response = await this.#call({
      method: "GET",
      path: objectPath(key),
      timeoutMs: this.#timeoutMs,
      ...limits,
    });
    if (!response.ok) return response;
    if (response.value.status === 404) return fail({ tag: "missing", key });
    return parseResponse(response.value, platformObjectSchema);
  }

  async put(
    key: string,
    { value, expectedVersion, signal }: WriteInput,
  ): Promise<Result<number, PlatformError>> {
    const condition: Record<string, string> = expectedVersion === 0
      ? { "if-none-match": "*" }
      : { "if-match": String(expectedVersion) };
    const response = await this.#call({
      method: "PUT",
      path: objectPath(key),
      timeoutMs: this.#timeoutMs,
      body: value,
      headers: { "content-type": "text/plain", ...condition },
      signal,
    });
    if (!response.ok) return response;
    if (response.value.status === 412) {
      const conflict = parseResponse(response.value, platformConflictSchema, [
        412,
      ]);
      if (!conflict.ok) return conflict;
      return fail({
        tag: "conflict",
        currentVersion: conflict.value.current_version,
      });
    }
    const written = parseResponse(response.value, platformWriteSchema);
    return written.ok ? ok(written.value.version) : written;
  }

  async watch(
    key: string,
    { afterVersion, waitMs, signal }: WatchInput,
  ): Promise<Result<PlatformObject | undefined, PlatformError>> {
    const response = await this.#call({
      method: "GET",
      path: `${
        objectPath(key)
      }?after_version=${afterVersion}&wait_ms=${waitMs}`,
      timeoutMs: waitMs + WATCH_TIMEOUT_MARGIN_MS,
      signal,
    });
    if (!response.ok) return response;
    if (response.value.status === 204) return ok(undefined);
    return parseResponse(response.value, platformObjectSchema);
  }

  async listKeys(
    prefix: string,
    limits: CallLimits = {},
  ): Promise<Result<readonly string[], PlatformError>> {
    const response = await this.#call({
      method: "GET",
      path: `/v1/objects?prefix=${encodeURIComponent(prefix)}`,
      timeoutMs: this.#timeoutMs,
      ...limits,
    });
    if (!response.ok) return response;
    const listed = parseResponse(response.value, platformKeysSchema);
    return listed.ok ? ok(listed.value.keys) : listed;
  }

  async listVms(
    { etag, signal }: ListVmsInput,
  ): Promise<Result<ListVmsResult, PlatformError>> {
    const response = await this.#call({
      method: "GET",
      path: "/v1/vms",
      timeoutMs: this.#timeoutMs,
      headers: { "if-none-match": etag },
      signal,
    });
    if (!response.ok) return response;
    if (response.value.status === 304) return ok({ list: undefined, etag });
    const list = parseResponse(response.value, vmListSchema);
    return list.ok ? ok({ list: list.value, etag: response.value.etag }) : list;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call(
    platformRequest: PlatformRequest,
  ): Promise<Result<PlatformResponse, PlatformError>> {
    this.#calls += 1;
    const { timeoutMs: limitMs, signal } = platformRequest;
    try {
      return ok(
        await withDeadline(
          { limitMs, signal },
          (deadline) => this.#send(platformRequest, deadline),
        ),
      );
    } catch (err) {
      return fail(toPlatformError(err));
    }
  }

  async #send(
    platformRequest: PlatformRequest,
    { signal }: Deadline,
  ): Promise<PlatformResponse> {
    const res = await request(`${this.#url}${platformRequest.path}`, {
      method: platformRequest.method,
      body: platformRequest.body,
      headers: platformRequest.headers,
      dispatcher: this.#agent,
      signal,
    });
    const text = await res.body.text();
    return {
      status: res.statusCode,
      body: parseJson(text),
      etag: String(res.headers.etag ?? ""),
      retryAfterMs: parseDelayMs(res.headers["retry-after-ms"]),
    };
  }
}

/** Returns undefined for a text that is no JSON, which matches no schema. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function parseDelayMs(header: string | string[] | undefined): number {
  const delayMs = Number(header ?? DEFAULT_RETRY_AFTER_MS);
  return Number.isFinite(delayMs) && delayMs >= 0
    ? delayMs
    : DEFAULT_RETRY_AFTER_MS;
}

function objectPath(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}

function parseResponse<T>(
  { status, body, retryAfterMs }: PlatformResponse,
  schema: z.ZodType<T>,
  statuses: readonly number[] = [200, 201],
): Result<T, PlatformError> {
  if (status === 429) return fail({ tag: "rate_limited", retryAfterMs });
  if (status === 503) return fail({ tag: "unavailable", reason: "status 503" });
  if (!statuses.includes(status)) {
    return fail({ tag: "uncertain", reason: `status ${status}` });
  }
  const parsed = schema.safeParse(body);
  if (parsed.success) return ok(parsed.data);
  return fail({
    tag: "uncertain",
    reason: "response body does not match the expected schema",
  });
}

function toPlatformError(err: unknown): PlatformError {
  const { code, message } = err as NodeJS.ErrnoException;
  if (code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT") {
    return { tag: "unavailable", reason: code };
  }
  return { tag: "uncertain", reason: code ? String(code) : message };
}
