/** The platform's object API over HTTP. */

import { type Agent, type Dispatcher, request } from "undici";
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
import { meteredAgent, SocketMeter } from "../runtime/socket_meter.ts";
import type {
  CallLimits,
  ListedVms,
  ListInput,
  Platform,
  PlatformError,
  WatchInput,
  WriteInput,
} from "./platform.ts";

const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Connections: a watch holds one for long, the others are shared by all calls. */
const CONNECTIONS = 4;
/** Wait for the answer to a watch beyond the time that was asked for. */
const WATCH_GRACE_MS = 1_000;

interface Call {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly timeoutMs: number;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  readonly signal?: AbortSignal;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
  readonly retryAfterMs: number;
  readonly etag: string;
}

/** Client of the platform. */
export class HttpPlatform implements Platform {
  readonly #url: string;
  readonly #timeoutMs: number;
  readonly #agent: Agent;
  #calls = 0;

  constructor(
    { url, timeoutMs, meter }: {
      url: string;
      timeoutMs: number;
      meter?: SocketMeter;
    },
  ) {
    this.#agent = meteredAgent(meter ?? new SocketMeter(), {
      connections: CONNECTIONS,
    });
    this.#url = url.replace(/\/$/, "");
    this.#timeoutMs = timeoutMs;
  }

  /** Calls made so far, watches included. */
  get calls(): number {
    return this.#calls;
  }

  async get(
    key: string,
    limits: CallLimits = {},
  ): Promise<Result<PlatformObject, PlatformError>> {
    const answer = await this.#call({
      method: "GET",
      path: objectPath(key),
      timeoutMs: this.#timeoutMs,
      ...limits,
    });
    if (!answer.ok) return answer;
    if (answer.value.status === 404) return fail({ tag: "missing", key });
    return parseAnswer(answer.value, platformObjectSchema);
  }

  async put(
    key: string,
    { value, expectedVersion, signal }: WriteInput,
  ): Promise<Result<number, PlatformError>> {
    const condition: Record<string, string> = expectedVersion === 0
      ? { "if-none-match": "*" }
      : { "if-match": String(expectedVersion) };
    const answer = await this.#call({
      method: "PUT",
      path: objectPath(key),
      timeoutMs: this.#timeoutMs,
      body: value,
      headers: { "content-type": "text/plain", ...condition },
      signal,
    });
    if (!answer.ok) return answer;
    if (answer.value.status === 412) {
      const conflict = parseAnswer(answer.value, platformConflictSchema, [412]);
      if (!conflict.ok) return conflict;
      return fail({
        tag: "conflict",
        currentVersion: conflict.value.current_version,
      });
    }
    const written = parseAnswer(answer.value, platformWriteSchema);
    return written.ok ? ok(written.value.version) : written;
  }

  async watch(
    key: string,
    { afterVersion, waitMs, signal }: WatchInput,
  ): Promise<Result<PlatformObject | undefined, PlatformError>> {
    const answer = await this.#call({
      method: "GET",
      path: `${
        objectPath(key)
      }?after_version=${afterVersion}&wait_ms=${waitMs}`,
      timeoutMs: waitMs + WATCH_GRACE_MS,
      signal,
    });
    if (!answer.ok) return answer;
    if (answer.value.status === 204) return ok(undefined);
    return parseAnswer(answer.value, platformObjectSchema);
  }

  async listKeys(
    prefix: string,
    limits: CallLimits = {},
  ): Promise<Result<readonly string[], PlatformError>> {
    const answer = await this.#call({
      method: "GET",
      path: `/v1/objects?prefix=${encodeURIComponent(prefix)}`,
      timeoutMs: this.#timeoutMs,
      ...limits,
    });
    if (!answer.ok) return answer;
    const listed = parseAnswer(answer.value, platformKeysSchema);
    return listed.ok ? ok(listed.value.keys) : listed;
  }

  async listVms(
    { etag, signal }: ListInput,
  ): Promise<Result<ListedVms, PlatformError>> {
    const answer = await this.#call({
      method: "GET",
      path: "/v1/vms",
      timeoutMs: this.#timeoutMs,
      headers: { "if-none-match": etag },
      signal,
    });
    if (!answer.ok) return answer;
    if (answer.value.status === 304) return ok({ list: undefined, etag });
    const list = parseAnswer(answer.value, vmListSchema);
    return list.ok ? ok({ list: list.value, etag: answer.value.etag }) : list;
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call(call: Call): Promise<Result<Answer, PlatformError>> {
    this.#calls += 1;
    const { timeoutMs: limitMs, signal } = call;
    try {
      return ok(
        await withDeadline(
          { limitMs, signal },
          (deadline) => this.#send(call, deadline),
        ),
      );
    } catch (err) {
      return fail(connectionError(err));
    }
  }

  async #send(call: Call, { signal }: Deadline): Promise<Answer> {
    const res = await request(`${this.#url}${call.path}`, {
      method: call.method,
      body: call.body,
      headers: call.headers,
      dispatcher: this.#agent,
      signal,
    });
    const text = await res.body.text();
    return {
      status: res.statusCode,
      body: text === "" ? undefined : JSON.parse(text),
      etag: String(res.headers.etag ?? ""),
      retryAfterMs: Number(
        res.headers["retry-after-ms"] ?? DEFAULT_RETRY_AFTER_MS,
      ),
    };
  }
}

function objectPath(key: string): string {
  return `/v1/objects/${encodeURIComponent(key)}`;
}

function parseAnswer<T>(
  { status, body, retryAfterMs }: Answer,
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
  return fail({ tag: "uncertain", reason: "answer of an unknown form" });
}

function connectionError(err: unknown): PlatformError {
  const { code, message } = err as NodeJS.ErrnoException;
  if (code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT") {
    return { tag: "unavailable", reason: code };
  }
  return { tag: "uncertain", reason: code ? String(code) : message };
}
