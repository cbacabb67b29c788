/** Schema of the head object in the platform. */

import { z } from "zod";
import type { Head } from "../core/config/stored_configuration.ts";
import { SECTIONS } from "../core/config/configuration.ts";
import type { Revision, Sha256 } from "../core/ids.ts";
import { sha256Schema } from "./ids_schema.ts";

const revisionSchema = z.int().min(1).transform((n) => n as Revision);

/** Schema of the head. */
export const headSchema: z.ZodType<Head, unknown> = z.object({
  revision: revisionSchema,
  objects: z.array(z.object({
    section: z.enum(SECTIONS),
    bucket: z.int().min(0),
    sha256: sha256Schema.transform((hex) => hex as Sha256),
  })),
  accepted: z.array(z.object({
    revision: revisionSchema,
    apply_id: z.string(),
  })),
  accepted_at_ms: z.number(),
});
