/** Calls of the operators' interface of entries. */

import { request } from "undici";
import { fail, ok, type Result } from "../core/result.ts";
import {
  type EntryStatus,
  entryStatusSchema,
} from "../protocol/status_schema.ts";

const TIMEOUT_MS = 2_000;

/** Asks the entry at `address` for its status. */
export async function fetchStatus(
  address: string,
): Promise<Result<EntryStatus, string>> {
  try {
    const res = await request(`http://${address}/status`, {
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const parsed = entryStatusSchema.safeParse(await res.body.json());
    if (parsed.success) return ok(parsed.data);
    return fail(
      `${address} answered in an unknown form; is it an operators' address?`,
    );
  } catch (err) {
    const { code, message } = err as NodeJS.ErrnoException;
    return fail(`${address} cannot be reached (${code ?? message})`);
  }
}
