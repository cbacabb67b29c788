/** In-memory object storage of the store stand-in, with a change history for watches. */

/** One stored object. */
export interface StoredObject {
  readonly name: string;
  readonly revision: number;
  readonly created: number;
  readonly spec: unknown;
  readonly status: unknown;
}

/** One change in the history of the store. */
export interface ChangeEvent {
  readonly kind: string;
  readonly object: StoredObject;
  readonly deleted: boolean;
}

/** Fields of an object to write; absent fields keep their stored value. */
export interface ObjectChange {
  readonly name: string;
  readonly spec?: unknown;
  readonly status?: unknown;
}

/** A copy of all objects, as of one revision. */
export interface BackupCopy {
  readonly revision: number;
  readonly objectsByKind: ReadonlyMap<
    string,
    ReadonlyMap<string, StoredObject>
  >;
  readonly events: readonly ChangeEvent[];
}

/** Objects of all kinds; all changes share one revision counter. */
export class VersionedObjects {
  #objectsByKind = new Map<string, Map<string, StoredObject>>();
  #events: ChangeEvent[] = [];
  #era = 1;
  readonly #waitingWatches = new Set<() => void>();
  #revision = 1;
  #compactedRevision = 0;

  /** Revision of the latest change. */
  get revision(): number {
    return this.#revision;
  }

  /** Rises with each restore from a copy. */
  get era(): number {
    return this.#era;
  }

  /** Number of watches that are waiting for a change. */
  get waitingWatches(): number {
    return this.#waitingWatches.size;
  }

  get(kind: string, name: string): StoredObject | undefined {
    return this.#objectsByKind.get(kind)?.get(name);
  }

  /** Returns the objects of a kind, sorted by name. */
  list(kind: string): StoredObject[] {
    const objects = [...(this.#objectsByKind.get(kind)?.values() ?? [])];
    return objects.sort((a, b) => a.name < b.name ? -1 : 1);
  }

  /** Creates or updates an object. */
  put(kind: string, change: ObjectChange): StoredObject {
    this.#revision += 1;
    const existing = this.get(kind, change.name);
    const object: StoredObject = {
      name: change.name,
      revision: this.#revision,
      created: existing?.created ?? this.#revision,
      spec: "spec" in change ? change.spec : existing?.spec,
      status: "status" in change ? change.status : existing?.status,
    };
    const objects = this.#objectsByKind.get(kind) ??
      new Map<string, StoredObject>();
    objects.set(change.name, object);
    this.#objectsByKind.set(kind, objects);
    this.#publish({ kind, object, deleted: false });
    return object;
  }

  /** Removes an object; does nothing if it does not exist. */
  remove(kind: string, name: string): void {
    const existing = this.get(kind, name);
    if (existing === undefined) return;
    this.#revision += 1;
    this.#objectsByKind.get(kind)?.delete(name);
    const object = { ...existing, revision: this.#revision };
    this.#publish({ kind, object, deleted: true });
  }

  /** Returns a copy of the current state. */
  copy(): BackupCopy {
    return {
      revision: this.#revision,
      objectsByKind: copyObjects(this.#objectsByKind),
      events: [...this.#events],
    };
  }

  /** Replaces the state by a copy; revisions given out since then are given out again. */
  restore({ revision, objectsByKind, events }: BackupCopy): void {
    this.#era += 1;
    this.#revision = revision;
    this.#objectsByKind = copyObjects(objectsByKind);
    this.#events = [...events];
    this.wakeWatches();
  }

  /** Whether a watch cannot continue from `revision`: it was discarded, or is not yet reached. */
  isUnknown(revision: number): boolean {
    return this.isCompacted(revision) || revision > this.#revision;
  }

  /** Discards the history up to now; watches from an earlier revision are refused. */
  compactHistory(): void {
    this.#compactedRevision = this.#revision;
  }

  /** Whether history after `revision` has been discarded. */
  isCompacted(revision: number): boolean {
    return revision < this.#compactedRevision;
  }

  /**
   * Waits up to `waitMs` for changes after a revision; returns none on time-out. The returned
   * revision is the one up to which the changes are complete.
   */
  async waitFor(
    kind: string,
    { revision, waitMs, isStalled, isClosed }: {
      revision: number;
      waitMs: number;
      /** While true, changes are withheld from the watch. */
      isStalled: () => boolean;
      /** Whether the client has closed the connection. */
      isClosed: () => boolean;
    },
  ): Promise<{ events: ChangeEvent[]; revision: number }> {
    const deadlineMs = Date.now() + waitMs;
    for (;;) {
      const events = isStalled() ? [] : this.#changesSince(kind, revision);
      const remainingMs = deadlineMs - Date.now();
      if (events.length > 0 || remainingMs <= 0 || isClosed()) {
        return { events, revision: this.#revision };
      }
      await this.#waitForChange(remainingMs);
    }
  }

  /** Makes all waiting watches re-evaluate their conditions. */
  wakeWatches(): void {
    for (const wake of this.#waitingWatches) wake();
  }

  #changesSince(kind: string, revision: number): ChangeEvent[] {
    return this.#events.filter((event) =>
      event.kind === kind && event.object.revision > revision
    );
  }

  #waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waitingWatches.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      timer.unref();
      this.#waitingWatches.add(wake);
    });
  }

  #publish(event: ChangeEvent): void {
    this.#events.push(event);
    this.wakeWatches();
  }
}

function copyObjects(
  objectsByKind: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>,
): Map<string, Map<string, StoredObject>> {
  return new Map(
    [...objectsByKind].map(([kind, objects]) => [kind, new Map(objects)]),
  );
}
