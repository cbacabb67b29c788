/** Object schemas that reject undeclared keys with an error that lists the allowed ones. */

import * as z from "zod";

/** Like `z.strictObject`, but the error for an unknown key lists the allowed keys. */
export function strictObject<Shape extends z.core.$ZodLooseShape>(
  shape: Shape,
) {
  return z.strictObject(shape, {
    error: (issue) => {
      if (issue.code !== "unrecognized_keys") return undefined;
      const keys = (issue as unknown as { keys: string[] }).keys;
      const unknown = keys.map((key) => `"${key}"`).join(", ");
      return `Unknown key ${unknown}; allowed are ${
        Object.keys(shape).join(", ")
      }`;
    },
  });
}
