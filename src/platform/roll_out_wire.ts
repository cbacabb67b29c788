/** Decodes roll-out orders and encodes their status. */

import * as z from "zod";
import type { ReleaseId, ServiceId } from "../core/ids.ts";
import { fail, ok, type Result } from "../core/result.ts";
import type {
  RollOutOrder,
  RollOutState,
} from "../core/servers/roll_out_order.ts";
import { type DecodeError, toDecodeError } from "./decode_error.ts";
import { NO_CONTENT, type ObjectContent } from "./object_store.ts";

/** Kind of roll-outs in the store. */
export const ROLL_OUT_KIND = "rollouts";

const MS_PER_SECOND = 1_000;

const orderSchema = z.object({
  Service: z.string(),
  TargetVersion: z.string(),
  DeadlineS: z.number().min(0),
});

const statusSchema = z.object({
  State: z.enum(["in_progress", "completed", "rolled_back"]).optional(),
  TargetVersion: z.string().optional(),
}).nullish();

/** Returns the fields that `decodeRollOut` reads; none if the object cannot be decoded. */
export function normalizeRollOut(content: ObjectContent): ObjectContent {
  const spec = orderSchema.safeParse(content.spec);
  const status = statusSchema.safeParse(content.status);
  if (!spec.success || !status.success) return NO_CONTENT;
  return { spec: spec.data, status: status.data ?? null };
}

/** Decodes a roll-out order and its progress. */
export function decodeRollOut(
  name: string,
  { spec, status }: ObjectContent,
): Result<RollOutOrder, DecodeError> {
  const order = orderSchema.safeParse(spec);
  if (!order.success) {
    return fail(toDecodeError(`roll-out ${name}`, order.error));
  }
  const decodedStatus = statusSchema.safeParse(status);
  if (!decodedStatus.success) {
    return fail(
      toDecodeError(`status of roll-out ${name}`, decodedStatus.error),
    );
  }
  return ok({
    service: order.data.Service as ServiceId,
    release: order.data.TargetVersion as ReleaseId,
    limitMs: order.data.DeadlineS * MS_PER_SECOND,
    state: decodedStatus.data?.State,
    stateRelease: decodedStatus.data?.TargetVersion as ReleaseId | undefined,
  });
}

/** Encodes the progress of a roll-out. */
export function encodeRollOutStatus(
  release: ReleaseId,
  state: RollOutState,
): unknown {
  return { State: state, TargetVersion: release };
}
