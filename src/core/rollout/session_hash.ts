/** Maps sessions to uniform hash values, consistently across VMs. */

import type { PromptPartId } from "../ids.ts";
import type { UnitHash } from "../routing/version_choice.ts";

/** Sessions with a hash below this are advertised to other VMs: the first on a canary. */
export const ADVERTISED_SESSION_SHARE = 0.1;

/** Returns a number in [0, 1). */
export function sessionHash(
  session: PromptPartId,
  unitHash: UnitHash,
): number {
  return unitHash(`session/${session}`);
}
