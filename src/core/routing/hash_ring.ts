/** Consistent hashing that gives the same result on every VM. */

import type { UnitHash } from "./version_choice.ts";

/** Default points per server: enough that few servers get far more keys than the mean. */
const POINTS_PER_SERVER = 24;
/** Maximum number of servers whose points are cached; more than exist at the same time. */
const MAX_CACHED_SERVERS = 4_096;

/** Ring of circumference 1 on which keys and the points of servers are placed by hash. */
export class HashRing {
  readonly #unitHash: UnitHash;
  readonly #pointsPerServer: number;
  readonly #points = new Map<string, readonly number[]>();

  constructor(unitHash: UnitHash, { points = POINTS_PER_SERVER } = {}) {
    this.#unitHash = unitHash;
    this.#pointsPerServer = points;
  }

  /** Returns the first `count` servers that follow the key on the ring, nearest first. */
  nearest<T>(servers: readonly T[], by: {
    readonly key: string;
    readonly idOf: (server: T) => string;
    readonly count: number;
  }): T[] {
    const position = this.#unitHash(by.key);
    const nearest: { readonly server: T; readonly distance: number }[] = [];
    for (const server of servers) {
      const distance = this.#distance(by.idOf(server), position);
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

  #distance(id: string, position: number): number {
    const points = this.#pointsOf(id);
    const next = points[lowerBound(points, position)] ?? points[0] ?? position;
    return next >= position ? next - position : next - position + 1;
  }

  /** Points of a server, in ascending order. */
  #pointsOf(id: string): readonly number[] {
    const cached = this.#points.get(id);
    if (cached !== undefined) return cached;
    if (this.#points.size >= MAX_CACHED_SERVERS) this.#points.clear();
    const points = Array.from(
      { length: this.#pointsPerServer },
      (_, n) => this.#unitHash(`${id}/${n}`),
    ).sort((a, b) => a - b);
    this.#points.set(id, points);
    return points;
  }
}

/** Index of the first point that is not less than `position`, or the length if there is none. */
function lowerBound(points: readonly number[], position: number): number {
  let low = 0;
  let high = points.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((points[middle] ?? 1) < position) low = middle + 1;
    else high = middle;
  }
  return low;
}
