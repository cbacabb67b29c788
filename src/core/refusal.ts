/** Reasons why a request gets no response of a backend server, and what its caller receives. */

import type { PartKey } from "./ids.ts";

/** Maximum number of prompt parts named in a message, as a prompt may have hundreds. */
const MAX_PARTS_NAMED = 8;

/** Outcomes of a request that ends without a complete response of a backend server. */
export type Refusal =
  | { readonly tag: "no_configuration" }
  | { readonly tag: "unknown_route" }
  | { readonly tag: "unknown_key" }
  /** The last configuration check is too old: API keys may have been revoked since. */
  | { readonly tag: "unconfirmed_keys"; readonly ageMs: number }
  | { readonly tag: "too_large"; readonly limitBytes: number }
  | { readonly tag: "malformed"; readonly reason: string }
  /** The bodies of other requests use up the memory that this VM has for them. */
  | { readonly tag: "bodies_full" }
  /** Nothing of the body has arrived for the idle time that the configuration allows. */
  | { readonly tag: "too_slow"; readonly idleMs: number }
  | { readonly tag: "stopping" }
  /** No server of the service accepts new requests. */
  | {
    readonly tag: "no_server";
    /** Milliseconds until a server accepts requests, if all are backing off or cold. */
    readonly opensInMs: number | undefined;
  }
  /** Every server that received the request rejected it without running it. */
  | {
    readonly tag: "servers_full";
    readonly asked: number;
    /** Milliseconds until a server accepts requests, if all requested backoff or are cold. */
    readonly opensInMs: number | undefined;
  }
  /** Every server that was asked answered that it does not serve such a request, for example its model. */
  | { readonly tag: "not_served"; readonly asked: number }
  /** Quarantined: servers crashed during each run of the request, or of others with its prompt parts. */
  | {
    readonly tag: "crashes_servers";
    readonly crashes: number;
    /** Remaining quarantine, in milliseconds. */
    readonly leftMs: number;
    /** Prompt parts that caused the crashes; empty if the request itself did. */
    readonly parts: readonly PartKey[];
  }
  /** The deadline passed before the request was sent to a server. */
  | { readonly tag: "expired_unsent" }
  /** The deadline passed, and a server may have run the request. */
  | { readonly tag: "expired" }
  /** A server may have run the request, but its response was incomplete. */
  | { readonly tag: "answer_lost"; readonly reason: string };

/** HTTP response to the caller. */
export interface RefusalResponse {
  readonly status: number;
  readonly message: string;
  /** Delay after which a retry may succeed, in milliseconds; undefined if none may. */
  readonly retryAfterMs: number | undefined;
}

/** A VM loads its configuration within about this time after its start. */
const CONFIGURATION_LOAD_MS = 500;
/** Interval at which a failed confirmation of the configuration is retried. */
const CONFIRM_RETRY_INTERVAL_MS = 500;
/** Changes of the server list reach this VM within about this time. */
const SERVER_LIST_UPDATE_MS = 400;
/** A slot of a full server becomes free after about this time. */
const SLOT_WAIT_MS = 250;
/** Bodies of finished requests free memory within about this time. */
const BODY_WAIT_MS = 500;
/** Short, since callers of a stopping VM can use another VM immediately. */
const STOPPING_RETRY_MS = 50;

/** Returns the HTTP response to a refusal. 503 is used only where no server has run the request. */
export function refusalResponse(refusal: Refusal): RefusalResponse {
  switch (refusal.tag) {
    case "no_configuration":
      return serviceUnavailable(
        "This VM has not loaded its configuration yet; retry later",
        CONFIGURATION_LOAD_MS,
      );
    case "unconfirmed_keys":
      return serviceUnavailable(
        `API keys were last confirmed ${
          Math.round(refusal.ageMs)
        } ms ago, which is too long; retry later`,
        CONFIRM_RETRY_INTERVAL_MS,
      );
    case "no_server":
      return serviceUnavailable(
        "No backend server accepts this request now; retry later",
        refusal.opensInMs ?? SERVER_LIST_UPDATE_MS,
      );
    case "servers_full":
      return serviceUnavailable(
        `${refusal.asked} backend servers were full; retry later`,
        refusal.opensInMs ?? SLOT_WAIT_MS,
      );
    case "crashes_servers":
      return serviceUnavailable(
        `${refusal.crashes} backend servers crashed while running ${
          describeCulprit(refusal.parts)
        }; it was not sent to another server`,
        refusal.leftMs,
      );
    case "expired_unsent":
      return serviceUnavailable(
        "No backend server accepted the request before its deadline; retry later",
        SLOT_WAIT_MS,
      );
    case "bodies_full":
      return serviceUnavailable(
        "This VM holds too many request bodies; use another address or retry later",
        BODY_WAIT_MS,
      );
    case "stopping":
      return serviceUnavailable(
        "This VM is shutting down; use another address",
        STOPPING_RETRY_MS,
      );
    case "not_served":
      return finalResponse(
        421,
        `${refusal.asked} backend servers do not serve this request; is its model right?`,
      );
    case "unknown_route":
      return finalResponse(404, "No route matches this host and path");
    case "unknown_key":
      return finalResponse(401, "API key is missing or unknown");
    case "too_large":
      return finalResponse(
        413,
        `Request body exceeds ${refusal.limitBytes} bytes`,
      );
    case "malformed":
      return finalResponse(400, refusal.reason);
    case "too_slow":
      return finalResponse(
        408,
        `No byte of the request body arrived for ${refusal.idleMs} ms`,
      );
    case "expired":
      return finalResponse(
        504,
        "Deadline exceeded before a complete response arrived; the request may have run",
      );
    case "answer_lost":
      return finalResponse(
        502,
        `Response is incomplete: ${refusal.reason}; the request may have run`,
      );
  }
}

/** Describes what crashed servers, with the ids of prompt parts as callers know them. */
export function describeCulprit(parts: readonly PartKey[]): string {
  if (parts.length === 0) return "this request";
  const ids = parts.slice(0, MAX_PARTS_NAMED)
    .map((key) => key.slice(key.indexOf("/") + 1));
  if (parts.length > ids.length) ids.push(`${parts.length - ids.length} more`);
  return ids.length === 1
    ? `requests with the prompt part ${ids[0]}, as this one has`
    : `requests with the prompt parts ${ids.join(" and ")}, as this one has`;
}

function serviceUnavailable(
  message: string,
  retryAfterMs: number,
): RefusalResponse {
  return { status: 503, message, retryAfterMs };
}

function finalResponse(status: number, message: string): RefusalResponse {
  return { status, message, retryAfterMs: undefined };
}
