/** Decodes orders to evacuate a data centre. */

import type { DataCentreId } from "../core/ids.ts";

/** Kind of the orders in the store; an order holds for as long as its object is there. */
export const EVACUATION_KIND = "evacuations";

/** Returns the data centre of an order; it is the name of its object, which has no content. */
export function decodeEvacuation(name: string): DataCentreId {
  return name as DataCentreId;
}
