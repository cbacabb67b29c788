/** Grants other VMs permits for servers with a rate limit that all VMs share. */

import type { LimitAdmission } from "../core/routing/limit_admission.ts";
import type {
  PermitRequest,
  PermitResponse,
} from "../protocol/permit_schema.ts";

interface Deps {
  readonly limitAdmission: LimitAdmission;
}

/** Answers VMs whose own share of a server's rate limit is missing or used up. */
export class PermitGranter {
  readonly #deps: Deps;

  constructor(deps: Deps) {
    this.#deps = deps;
  }

  /** Grants a permit from this VM's share, if one is available. */
  grant({ instance, bornMs }: PermitRequest): PermitResponse {
    return this.#deps.limitAdmission.tryGrant({ instance, bornMs });
  }
}
