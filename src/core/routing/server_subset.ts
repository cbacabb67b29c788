/** Selects the subset of backend servers that one entry connects to in a large fleet. */

import type { BackendServer } from "../config/configuration.ts";
import type { DataCentreId, EntryId } from "../ids.ts";
import type { UnitHash } from "./version_choice.ts";

export interface SubsetInput {
  /** The entry that the subset is for. */
  readonly entry: EntryId;
  readonly dataCentre: DataCentreId;
  /** Maximum number of servers in the subset. */
  readonly size: number;
  readonly unitHash: UnitHash;
}

/**
 * Selects at most `size` servers by rendezvous hashing, preferring those in the entry's own data
 * centre. Adding or removing a server changes few subsets.
 */
export function chooseSubset(
  servers: readonly BackendServer[],
  { entry, dataCentre, size, unitHash }: SubsetInput,
): readonly BackendServer[] {
  if (servers.length <= size) return servers;
  const ranked = servers.map((server) => ({
    server,
    distance: server.data_centre === dataCentre ? 0 : 1,
    hash: unitHash(`${entry}/${server.id}`),
  }));
  ranked.sort((a, b) => a.distance - b.distance || a.hash - b.hash);
  return ranked.slice(0, size).map(({ server }) => server);
}
