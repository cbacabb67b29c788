/** HTTP client of the platform's object store. */

import { type Dispatcher, request } from "undici";
import * as z from "zod";
import { fail, ok, type Result } from "../core/result.ts";
import type { Deadline } from "../runtime/deadline.ts";
import { HttpAgent } from "../runtime/http_agent.ts";
import { withDeadline } from "../runtime/with_deadline.ts";
import {
  type ObjectAnswer,
  type ObjectKey,
  type ObjectStore,
  type StoreAnswer,
  type StoreCall,
  type StoreChanges,
  type StoredObject,
  type StoreError,
  type StoreListing,
  UNREPORTED_ERA,
} from "./object_store.ts";

/** Each pending watch occupies one connection; all other calls share the remaining ones. */
const MAX_CONNECTIONS = 8;
/** A reachable store accepts a connection within milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Added to the requested wait of a watch before the client times it out. */
const WATCH_TIMEOUT_MARGIN_MS = 1_500;
/** Far more than the pages of any list; a page holds about 500 objects, or 1 MB of them. */
const MAX_LIST_PAGES = 1_000;
/** Lists that are begun again because the store was restored between two pages. */
const MAX_LIST_RESTARTS = 2;
const ERA_HEADER = "store-era";
const ERA_PATTERN = /^\d{1,15}$/;

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

/** Reads only the name, so that a malformed object can still serve as the start of the next page. */
const nameSchema = z.object({ Metadata: z.object({ Name: z.string() }) })
  .transform(({ Metadata }) => Metadata.Name);

const listSchema = z.object({
  Entries: z.array(z.unknown()),
  HasMore: z.boolean().default(false),
  StoreRevision: z.number(),
}).transform(({ Entries, HasMore, StoreRevision }) => ({
  objects: Entries.flatMap((entry) => parseOrSkip(objectSchema, entry)),
  lastName: Entries.flatMap((entry) => parseOrSkip(nameSchema, entry)).at(-1),
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
}).transform(({ events, StoreRevision }) => ({
  events: events.flatMap((event) => parseOrSkip(eventSchema, event)),
  revision: StoreRevision,
}));

/** Returns no value if it is malformed, so that one bad object does not fail the whole list. */
function parseOrSkip<T>(schema: z.ZodType<T>, value: unknown): T[] {
  const parsed = schema.safeParse(value);
  return parsed.success ? [parsed.data] : [];
}

interface StoreRequest extends StoreCall {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly body?: unknown;
}

interface StoreResponse {
  readonly status: number;
  readonly body: unknown;
  readonly era: number | undefined;
}

/** A value decoded from an answer, with the era in which the store answered. */
type AtEra<T> = T & { readonly era: number };

/** Far more than the largest page of a list. */
const MAX_RESPONSE_BYTES = 16 * 1_024 * 1_024;

/** Client of the platform's object API. */
export class HttpObjectStore implements ObjectStore {
  readonly #url: string;
  readonly #agent = new HttpAgent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    maxResponseSize: MAX_RESPONSE_BYTES,
  });
  readonly #answerListeners: ((answer: StoreAnswer) => void)[] = [];
  #calls = 0;
  /** Latest era that an answer has named. */
  #era = UNREPORTED_ERA;

  /** Takes the store's address as `IP:port`. */
  constructor(address: string) {
    this.#url = `http://${address}`;
  }

  /** Number of calls made so far, including watches. */
  get calls(): number {
    return this.#calls;
  }

  onAnswer(listener: (answer: StoreAnswer) => void): void {
    this.#answerListeners.push(listener);
  }

  get(
    key: ObjectKey,
    call: StoreCall,
  ): Promise<Result<ObjectAnswer, StoreError>> {
    return this.#call(
      { ...call, method: "GET", path: objectPath(key) },
      objectSchema,
    );
  }

  async list(
    kind: string,
    call: StoreCall,
  ): Promise<Result<StoreListing, StoreError>> {
    for (let attempt = 0; attempt <= MAX_LIST_RESTARTS; attempt++) {
      const listing = await this.#listPages(kind, call);
      if (listing !== undefined) return listing;
    }
    return fail({ tag: "uncertain", reason: "pages are from several eras" });
  }

  /** Reads all pages of a list; undefined if the store was restored between two of them. */
  async #listPages(
    kind: string,
    call: StoreCall,
  ): Promise<Result<StoreListing, StoreError> | undefined> {
    const objects: StoredObject[] = [];
    let after = "";
    // The position of the first page is returned, so that a watch from there misses no change made
    // between two pages. Changes already included in a later page are reported twice.
    let first: { era: number; revision: number } | undefined;
    for (let page = 0; page < MAX_LIST_PAGES; page++) {
      const query = after === "" ? "" : `?After=${encodeURIComponent(after)}`;
      const path = `${kindPath(kind)}${query}`;
      const response = await this.#call(
        { ...call, method: "GET", path },
        listSchema,
      );
      if (!response.ok) return response;
      const { lastName, hasMore, revision, era } = response.value;
      first ??= { era, revision };
      if (era !== first.era) return undefined;
      objects.push(...response.value.objects);
      if (!hasMore) return ok({ objects, ...first });
      // Objects that are missing from a list count as removed, so that no part of one is returned.
      if (lastName === undefined || lastName === after) {
        const reason = `list of ${kind} does not continue after "${after}"`;
        return fail({ tag: "uncertain", reason });
      }
      after = lastName;
    }
    const reason = `list of ${kind} has more than ${MAX_LIST_PAGES} pages`;
    return fail({ tag: "uncertain", reason });
  }

  watch(
    kind: string,
    { revision, waitMs, signal }: StoreCall & {
      readonly revision: number;
      readonly waitMs: number;
    },
  ): Promise<Result<StoreChanges, StoreError>> {
    const path = `${kindPath(kind)}?Watch=${revision}&WaitMs=${waitMs}`;
    const timeoutMs = waitMs + WATCH_TIMEOUT_MARGIN_MS;
    return this.#call(
      { method: "GET", path, timeoutMs, signal },
      changesSchema,
    );
  }

  create(
    { kind, name }: ObjectKey,
    call: StoreCall & { readonly spec: unknown },
  ): Promise<Result<ObjectAnswer, StoreError>> {
    const body = { Metadata: { Name: name }, Spec: call.spec };
    return this.#call(
      { ...call, method: "POST", path: kindPath(kind), body },
      objectSchema,
    );
  }

  replace(
    key: ObjectKey,
    call: StoreCall & { readonly spec: unknown; readonly revision: number },
  ): Promise<Result<ObjectAnswer, StoreError>> {
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
  ): Promise<Result<ObjectAnswer, StoreError>> {
    const Metadata = { Name: key.name, Revision: call.revision };
    const body = { Metadata, Status: call.status };
    return this.#call(
      { ...call, method: "PUT", path: `${objectPath(key)}/status`, body },
      objectSchema,
    );
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #call<T extends object>(
    storeRequest: StoreRequest,
    schema: z.ZodType<T>,
  ): Promise<Result<AtEra<T>, StoreError>> {
    this.#calls += 1;
    // An answer that names no era may come from before a restore that other answers have revealed.
    const eraBefore = this.#era;
    const { timeoutMs: limitMs, signal } = storeRequest;
    try {
      const response = await withDeadline(
        { limitMs, signal },
        (deadline) => this.#send(storeRequest, deadline),
      );
      const era = response.era ?? eraBefore;
      this.#era = Math.max(this.#era, era);
      return this.#report(response.era, parseResponse(response, schema, era));
    } catch (err) {
      return this.#report(undefined, fail(toStoreError(err)));
    }
  }

  #report<T>(
    era: number | undefined,
    result: Result<T, StoreError>,
  ): Result<T, StoreError> {
    const outcome = result.ok ? "ok" : result.error.tag;
    for (const listener of this.#answerListeners) listener({ era, outcome });
    return result;
  }

  async #send(
    storeRequest: StoreRequest,
    { signal }: Deadline,
  ): Promise<StoreResponse> {
    const body = storeRequest.body === undefined
      ? undefined
      : JSON.stringify(storeRequest.body);
    const res = await request(`${this.#url}${storeRequest.path}`, {
      method: storeRequest.method,
      body,
      headers: body === undefined ? {} : { "content-type": "application/json" },
      dispatcher: this.#agent,
      signal,
    });
    const text = await res.body.text();
    const era = parseEra(res.headers[ERA_HEADER]);
    return { status: res.statusCode, body: parseBody(text), era };
  }
}

function kindPath(kind: string): string {
  return `/-/objects/${encodeURIComponent(kind)}`;
}

function objectPath({ kind, name }: ObjectKey): string {
  return `${kindPath(kind)}/${encodeURIComponent(name)}`;
}

/** Returns undefined if the body is not JSON, because the status alone may determine the outcome. */
function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Returns undefined for a store that names no era, or one that is not a number. */
function parseEra(header: string | string[] | undefined): number | undefined {
  if (typeof header !== "string" || !ERA_PATTERN.test(header)) return undefined;
  return Number(header);
}

function parseResponse<T extends object>(
  { status, body }: StoreResponse,
  schema: z.ZodType<T>,
  era: number,
): Result<AtEra<T>, StoreError> {
  switch (status) {
    case 404:
      return fail({ tag: "missing" });
    case 409: {
      const { data } = objectSchema.safeParse(body);
      return fail({ tag: "conflict", current: data && { ...data, era } });
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
  if (parsed.success) return ok({ ...parsed.data, era });
  return fail({
    tag: "uncertain",
    reason: "response body does not match the expected schema",
  });
}

function toStoreError(err: unknown): StoreError {
  const { code, message } = err as NodeJS.ErrnoException;
  if (code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT") {
    return { tag: "unavailable", reason: code };
  }
  return { tag: "uncertain", reason: code ? String(code) : message };
}
