/** Client of the operators' interface of entries. */

import { request } from "undici";
import { fail, ok, type Result } from "../core/result.ts";
import {
  type EntryStatus,
  entryStatusSchema,
} from "../protocol/status_schema.ts";
import { HttpAgent } from "../runtime/http_agent.ts";

const STATUS_TIMEOUT_MS = 2_000;
const AGENT = new HttpAgent();

/** Fetches the status of the entry at `address`; the error is a text for the operator. */
export async function fetchStatus(
  address: string,
): Promise<Result<EntryStatus, string>> {
  try {
    const res = await request(`http://${address}/status`, {
      dispatcher: AGENT,
      signal: AbortSignal.timeout(STATUS_TIMEOUT_MS),
    });
    const parsed = entryStatusSchema.safeParse(await res.body.json());
    if (parsed.success) return ok(parsed.data);
    return fail(
      `${address} sent an invalid status response; is it an operators' address?`,
    );
  } catch (err) {
    const { code, message } = err as NodeJS.ErrnoException;
    return fail(`${address} cannot be reached (${code ?? message})`);
  }
}
