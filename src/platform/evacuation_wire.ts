/** Decodes orders to evacuate a data centre. */

import type { DataCentreId } from "../core/ids.ts";

/** Kind of evacuation orders in the store. An order is in force as long as its object exists. */
export const EVACUATION_KIND = "evacuations";

/** Returns the data centre of an order: the name of its object, which has no content. */
export function decodeEvacuation(name: string): DataCentreId {
  return name as DataCentreId;
}
