/** Client of the platform's store over HTTP. */

import { Agent, type Dispatcher, request } from "undici";
import * as z from "zod";
import { fail, ok, type Result } from "../core/result.ts";
import type { Deadline } from "../runtime/deadline.ts";
import { withDeadline } from "../runtime/with_deadline.ts";
import type {
  ObjectKey,
  ObjectStore,
  StoreCall,
  StoreChanges,
  StoredObject,
  StoreError,
  StoreListing,
} from "./object_store.ts";

/** Connections: each waiting watch holds one, the other calls share the rest. */
const CONNECTIONS = 8;
/** Wait for a connection; the store answers in milliseconds when it is there. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Wait for the answer to a watch beyond the time that was asked for. */
const WATCH_GRACE_MS = 1_500;
/** Pages of one list, at most; a page holds some 500 objects. */
const MAX_PAGES = 100;

const objectSchema = z.object({
  Metadata: z.object({ Name: z.string(), Revision: z.number() }),
  Spec: z.unknown(),
  Status: z.unknown(),
}).transform(({ Metadata, Spec, Status }): StoredObject => ({
  name: Metadata.Name,
  revision: Metadata.Revision,
  spec: Spec,
  status: Status,
}));

/** Name of an object of which nothing else may be readable; for going on after it. */
const nameSchema = z.object({ Metadata: z.object({ Name: z.string() }) })
  .transform(({ Metadata }) => Metadata.Name);

const listSchema = z.object({
  Entries: z.array(z.unknown()),
  HasMore: z.boolean().default(false),
  StoreRevision: z.number(),
}).transform(({ Entries, HasMore, StoreRevision }) => ({
  objects: Entries.flatMap((entry) => readable(objectSchema, entry)),
  lastName: Entries.flatMap((entry) => readable(nameSchema, entry)).at(-1),
  hasMore: HasMore,
  revision: StoreRevision,
}));

const eventSchema = z.object({
  Object: objectSchema,
  Deleted: z.boolean().default(false),
}).transform(({ Object, Deleted }) => ({ object: Object, deleted: Deleted }));

const changesSchema = z.object({
  events: z.array(z.unknown()).default([]),
  StoreRevision: z.number(),
}).transform(({ events, StoreRevision }): StoreChanges => ({
  events: events.flatMap((event) => readable(eventSchema, event)),
  revision: StoreRevision,
}));

/** What is not an object as the store keeps them is passed over; the others hold. */
function readable<T>(schema: z.ZodType<T>, value: unknown): T[] {
  const parsed = schema.safeParse(value);
  return parsed.success ? [parsed.data] : [];
}

interface Exchange extends StoreCall {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: unknown;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** Speaks the platform's object API. */
export class HttpObjectStore implements ObjectStore {
  readonly #url: string;
  readonly #agent = new Agent({
    connections: CONNECTIONS,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
  });
  #calls = 0;

  /** `address` is the store's `IP:port`. */
  constructor(address: string) {
    this.#url = `http://${address}`;
  }

  /** Calls made so far, watches included. */
  get calls(): number {
    return this.#calls;
  }

  get(
    key: ObjectKey,
    call: StoreCall,
  ): Promise<Result<StoredObject, StoreError>> {
    return this.#call(
      { ...call, method: "GET", path: objectPath(key) },
      objectSchema,
    );
  }

  async list(
    kind: string,
    call: StoreCall,
  ): Promise<Result<StoreListing, StoreError>> {
    const objects: StoredObject[] = [];
    let after = "";
    // Events are followed from the first page on, so that no change between pages is
    // missed; those that a later page shows already are merely seen twice.
    let revision: number | undefined;
    for (let page = 0; page < MAX_PAGES; page++) {
      const query = after === "" ? "" : `?After=${encodeURIComponent(after)}`;
      const path = `${kindPath(kind)}${query}`;
      const answer = await this.#call(
        { ...call, method: "GET", path },
        listSchema,
      );
      if (!answer.ok) return answer;
      const { lastName, hasMore } = answer.value;
      objects.push(...answer.value.objects);
      revision ??= answer.value.revision;
      if (!hasMore || lastName === undefined) break;
      after = lastName;
    }
    return ok({ objects, revision: revision ?? 0 });
  }

  watch(
    kind: string,
    { revision, waitMs, signal }: StoreCall & {
      readonly revision: number;
      readonly waitMs: number;
    },
  ): Promise<Result<StoreChanges, StoreError>> {
    const path = `${kindPath(kind)}?Watch=${revision}&WaitMs=${waitMs}`;
    const timeoutMs = waitMs + WATCH_GRACE_MS;
    return this.#call(
      { method: "GET", path, timeoutMs, signal },
      changesSchema,
    );
  }

  create(
    { kind, name }: ObjectKey,
    call: StoreCall & { readonly spec: unknown },
  ): Promise<Result<StoredObject, StoreError>> {
    const body = { Metadata: { Name: name }, Spec: call.spec };
    return this.#call(
      { ...call, method: "POST", path: kindPath(kind), body },
      objectSchema,
    );
  }

  replace(
    key: ObjectKey,
    call: StoreCall & { readonly spec: unknown; readonly revision: number },
  ): Promise<Result<StoredObject, StoreError>> {
    const Metadata = { Name: key.name, Revision: call.revision };
    const body = { Metadata, Spec: call.spec };
    return this.#call(
      { ...call, method: "PUT", path: objectPath(key), body },
      objectSchema,
    );
  }

  replaceStatus(
    key: ObjectKey,
    call: StoreCall & { readonly status: unknown; readonly revision: number },
  ): Promise<Result<StoredObject, StoreError>> {
    const Metadata = { Name: key.name, Revision: call.revision };
    const body = { Metadata, Status: call.status };
    return this.#call(
      { ...call, method: "PUT", path: `${objectPath(key)}/status`, body },
      objectSchema,
    );
  }

  /** Ends all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call<T>(
    exchange: Exchange,
    schema: z.ZodType<T>,
  ): Promise<Result<T, StoreError>> {
    this.#calls += 1;
    const { timeoutMs: limitMs, signal } = exchange;
    try {
      const answer = await withDeadline(
        { limitMs, signal },
        (deadline) => this.#send(exchange, deadline),
      );
      return parseAnswer(answer, schema);
    } catch (err) {
      return fail(connectionError(err));
    }
  }

  async #send(exchange: Exchange, { signal }: Deadline): Promise<Answer> {
    const body = exchange.body === undefined
      ? undefined
      : JSON.stringify(exchange.body);
    const res = await request(`${this.#url}${exchange.path}`, {
      method: exchange.method,
      body,
      headers: body === undefined ? {} : { "content-type": "application/json" },
      dispatcher: this.#agent,
      signal,
    });
    const text = await res.body.text();
    return { status: res.statusCode, body: parseBody(text) };
  }
}

function kindPath(kind: string): string {
  return `/-/objects/${encodeURIComponent(kind)}`;
}

function objectPath({ kind, name }: ObjectKey): string {
  return `${kindPath(kind)}/${encodeURIComponent(name)}`;
}

/** A body that is no JSON says nothing; the status may say enough without it. */
function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function parseAnswer<T>(
  { status, body }: Answer,
  schema: z.ZodType<T>,
): Result<T, StoreError> {
  switch (status) {
    case 404:
      return fail({ tag: "missing" });
    case 409: {
      const current = objectSchema.safeParse(body);
      return fail({ tag: "conflict", current: current.data });
    }
    case 410:
      return fail({ tag: "history_lost" });
    case 429:
      return fail({ tag: "rate_limited" });
    case 503:
      return fail({ tag: "unavailable", reason: "status 503" });
  }
  if (status < 200 || status >= 300) {
    return fail({ tag: "uncertain", reason: `status ${status}` });
  }
  const parsed = schema.safeParse(body);
  if (parsed.success) return ok(parsed.data);
  return fail({ tag: "uncertain", reason: "answer of an unknown form" });
}

function connectionError(err: unknown): StoreError {
  const { code, message } = err as NodeJS.ErrnoException;
  if (code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT") {
    return { tag: "unavailable", reason: code };
  }
  return { tag: "uncertain", reason: code ? String(code) : message };
}
