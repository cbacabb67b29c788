/** Schemas of the head object, its changes, and the reports of which revisions entry VMs hold. */

import * as z from "zod";
import type { Head } from "../core/config/stored_configuration.ts";
import type { HeadDelta } from "../core/config/head_delta.ts";
import { SECTIONS } from "../core/config/configuration.ts";
import type { HolderReport } from "../core/config/holder_report.ts";
import type { EntryId, Revision, Sha256 } from "../core/ids.ts";
import { sha256Schema } from "./ids_schema.ts";

const revisionSchema = z.int().min(1).transform((n) => n as Revision);

const objectRefSchema = z.object({
  section: z.enum(SECTIONS),
  bucket: z.int().min(0),
  sha256: sha256Schema.transform((hex) => hex as Sha256),
});

/** Schema of the changes between two heads. */
export const headDeltaSchema: z.ZodType<HeadDelta, unknown> = z.object({
  from: revisionSchema,
  revision: revisionSchema,
  accepted_at_ms: z.number(),
  changed: z.array(objectRefSchema),
});

const entryIdSchema = z.string().transform((id) => id as EntryId);

/** Schema of an entry VM's report of the revisions that entry VMs hold. */
export const holderReportSchema: z.ZodType<HolderReport, unknown> = z.object({
  entry: entryIdSchema,
  roster: z.array(entryIdSchema),
  held: z.array(z.object({
    entry: entryIdSchema,
    revision: z.int().min(0).transform((n) => n as Revision),
  })),
  listed: z.boolean(),
});

/** Schema of the head object. */
export const headSchema: z.ZodType<Head, unknown> = z.object({
  revision: revisionSchema,
  objects: z.array(objectRefSchema),
  accepted: z.array(z.object({
    revision: revisionSchema,
    apply_id: z.string(),
  })),
  accepted_at_ms: z.number(),
});
