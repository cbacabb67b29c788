/** Where a session stands among all sessions, the same on every VM. */

import type { PromptPartId } from "../ids.ts";
import type { UnitHash } from "../routing/version_choice.ts";

/** Sessions below this point are told to other VMs: those that a trial begins with. */
export const TOLD_SHARE = 0.1;

/** Returns a number from 0 up to but not including 1. */
export function sessionPoint(
  session: PromptPartId,
  unitHash: UnitHash,
): number {
  return unitHash(`session/${session}`);
}
