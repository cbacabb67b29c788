/** Consistent hashing: how far servers stand from a key, the same on every VM. */

import type { UnitHash } from "./version_choice.ts";

/** Points of each server by default: enough that few servers get much more than the mean of keys. */
const POINTS = 24;
/** Servers whose points are kept; more than there are at once. */
const MOST_SERVERS = 4_096;

/** A circle of length 1 on which keys and servers stand. */
export class HashRing {
  readonly #unitHash: UnitHash;
  readonly #pointCount: number;
  readonly #points = new Map<string, readonly number[]>();

  constructor(unitHash: UnitHash, { points = POINTS } = {}) {
    this.#unitHash = unitHash;
    this.#pointCount = points;
  }

  /** The first servers that follow the key, nearest first. */
  nearest<T>(servers: readonly T[], by: {
    readonly key: string;
    readonly idOf: (server: T) => string;
    readonly count: number;
  }): T[] {
    const at = this.#unitHash(by.key);
    const nearest: { readonly server: T; readonly distance: number }[] = [];
    for (const server of servers) {
      const distance = this.#distance(by.idOf(server), at);
      const farthest = nearest.at(-1);
      const full = nearest.length === by.count;
      if (full && farthest !== undefined && distance >= farthest.distance) {
        continue;
      }
      if (full) nearest.pop();
      nearest.push({ server, distance });
      nearest.sort((a, b) => a.distance - b.distance);
    }
    return nearest.map(({ server }) => server);
  }

  #distance(id: string, at: number): number {
    const points = this.#pointsOf(id);
    const next = points[firstFrom(points, at)] ?? points[0] ?? at;
    return next >= at ? next - at : next - at + 1;
  }

  /** Points of a server, in rising order. */
  #pointsOf(id: string): readonly number[] {
    const known = this.#points.get(id);
    if (known !== undefined) return known;
    if (this.#points.size >= MOST_SERVERS) this.#points.clear();
    const points = Array.from(
      { length: this.#pointCount },
      (_, n) => this.#unitHash(`${id}/${n}`),
    ).sort((a, b) => a - b);
    this.#points.set(id, points);
    return points;
  }
}

/** Index of the first point that is not below `at`; the length where there is none. */
function firstFrom(points: readonly number[], at: number): number {
  let low = 0;
  let high = points.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((points[middle] ?? 1) < at) low = middle + 1;
    else high = middle;
  }
  return low;
}
