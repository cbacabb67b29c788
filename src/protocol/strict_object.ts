/** Objects that take only the keys they declare, with an error that lists them. */

import * as z from "zod";

/** Like `z.strictObject`, but an unknown key is answered with those allowed. */
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
