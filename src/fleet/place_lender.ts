/** Lends other VMs places at servers that take only so much from all VMs together. */

import type { LimitAdmission } from "../core/routing/limit_admission.ts";
import type {
  PermitRequest,
  PermitResponse,
} from "../protocol/permit_schema.ts";

interface Deps {
  readonly limitAdmission: LimitAdmission;
}

/** Answers VMs that have work for a server of which they own nothing, or not enough. */
export class PlaceLender {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Lends a place out of what this VM may send, if it has one to spare. */
  lend({ instance, bornMs }: PermitRequest): PermitResponse {
    return this.#deps.limitAdmission.tryGrant({ instance, bornMs });
  }
}
