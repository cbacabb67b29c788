/** Choice of the backend servers that one entry talks to, where there are many. */

import type { BackendServer } from "../config/configuration.ts";
import type { DataCentreId, EntryId } from "../ids.ts";
import type { UnitHash } from "./version_choice.ts";

/** Who chooses, and how many servers it wants. */
export interface SubsetInput {
  readonly entry: EntryId;
  readonly dataCentre: DataCentreId;
  readonly size: number;
  readonly unitHash: UnitHash;
}

/**
 * Returns at most `size` servers by rendezvous hashing, those of the own data
 * centre first. A server that comes or goes alters few subsets.
 */
export function chooseSubset(
  servers: readonly BackendServer[],
  { entry, dataCentre, size, unitHash }: SubsetInput,
): readonly BackendServer[] {
  if (servers.length <= size) return servers;
  const weighed = servers.map((server) => ({
    server,
    near: server.data_centre === dataCentre ? 0 : 1,
    weight: unitHash(`${entry}/${server.id}`),
  }));
  weighed.sort((a, b) => a.near - b.near || a.weight - b.weight);
  return weighed.slice(0, size).map(({ server }) => server);
}
