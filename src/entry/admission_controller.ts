/** Admits requests of every kind: checks the key, in-flight limits, session and deadline. */

import type { FastifyRequest } from "fastify";
import { randomUUID } from "node:crypto";
import type { Account } from "../core/config/configuration.ts";
import type { ConfigurationStore } from "../core/config/configuration_store.ts";
import type { RequestId, Sha256 } from "../core/ids.ts";
import type { InFlightLimits } from "../core/limits/in_flight_limits.ts";
import type { RequestError } from "../core/request_error.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type { Settings } from "../protocol/settings_schema.ts";
import { Deadline } from "../runtime/deadline.ts";
import { sha256 } from "../runtime/hashing.ts";
import type { RequestContext } from "./request_context.ts";

const BEARER = /^Bearer +(\S+) *$/i;
const SESSION_PATTERN = /^[\x21-\x7e]{1,200}$/;
const NOT_READY_RETRY_AFTER_MS = 1_000;
const MAX_DEADLINE_MS = 3_600_000;

interface Deps {
  readonly configurationStore: ConfigurationStore;
  readonly inFlightLimits: InFlightLimits;
  readonly settings: Settings;
}

/** Admission control for requests of callers. */
export class AdmissionController {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  newRequestId(): RequestId {
    return randomUUID() as RequestId;
  }

  /** Admits a request, which must be ended with `release`, or returns why it is rejected. */
  admit(
    req: FastifyRequest,
    requestId: RequestId,
  ): Result<RequestContext, RequestError> {
    const key = readKey(req.headers.authorization);
    if (!key.ok) return key;
    const account = this.#account(key.value);
    if (!account.ok) return account;
    const session = readSession(req.headers["fieldrack-session"]);
    if (!session.ok) return session;
    const limitMs = this.#parseDeadline(req.headers["fieldrack-deadline-ms"]);
    if (!limitMs.ok) return limitMs;
    const admitted = this.#deps.inFlightLimits.tryAcquire(account.value);
    if (!admitted.ok) return admitted;
    return ok({
      requestId,
      keyHash: key.value,
      account: account.value,
      stickyKey: session.value ?? requestId,
      deadline: new Deadline(limitMs.value),
    });
  }

  /** Ends an admitted request. */
  release(ctx: RequestContext): void {
    ctx.deadline.close();
    this.#deps.inFlightLimits.release(ctx.account.id);
  }

  #account(keyHash: Sha256): Result<Account, RequestError> {
    const { index } = this.#deps.configurationStore;
    if (index === undefined) {
      const reason = "it has not loaded a configuration yet";
      return fail({
        tag: "not_ready",
        reason,
        retryAfterMs: NOT_READY_RETRY_AFTER_MS,
      });
    }
    // The lookup uses the hash of the key, so that its timing reveals nothing about the key.
    const account = index.accountByKey(keyHash);
    return account === undefined ? unauthorised("Key is unknown") : ok(account);
  }

  #parseDeadline(
    header: string | string[] | undefined,
  ): Result<number, RequestError> {
    if (header === undefined) return ok(this.#deps.settings.limits.deadline_ms);
    const limitMs = Number(header);
    if (
      Number.isInteger(limitMs) && limitMs >= 1 &&
      limitMs <= MAX_DEADLINE_MS
    ) {
      return ok(limitMs);
    }
    const reason =
      `expected an integer from 1 to ${MAX_DEADLINE_MS}, in milliseconds`;
    return fail({
      tag: "malformed",
      where: "header fieldrack-deadline-ms",
      reason,
    });
  }
}

function readKey(header: string | undefined): Result<Sha256, RequestError> {
  if (header === undefined) {
    return unauthorised("Header Authorization is missing");
  }
  const key = BEARER.exec(header)?.[1];
  return key === undefined
    ? unauthorised("Header Authorization has no Bearer key")
    : ok(sha256(key));
}

function readSession(
  header: string | string[] | undefined,
): Result<string | undefined, RequestError> {
  if (header === undefined) return ok(undefined);
  if (typeof header === "string" && SESSION_PATTERN.test(header)) {
    return ok(header);
  }
  const reason = "expected 1 to 200 printable characters without spaces";
  return fail({ tag: "malformed", where: "header fieldrack-session", reason });
}

function unauthorised(reason: string): Result<never, RequestError> {
  return fail({ tag: "unauthorised", reason });
}
