/** Objects of the store stand-in: one counter of revisions, history and watches. */

/** One object. */
export interface KeptObject {
  readonly name: string;
  readonly revision: number;
  readonly created: number;
  readonly spec: unknown;
  readonly status: unknown;
}

/** One change. */
export interface KeptEvent {
  readonly kind: string;
  readonly object: KeptObject;
  readonly deleted: boolean;
}

/** What to change of an object. */
export interface Change {
  readonly name: string;
  readonly spec?: unknown;
  readonly status?: unknown;
}

/** Objects of all kinds. */
export class ObjectKinds {
  readonly #kinds = new Map<string, Map<string, KeptObject>>();
  readonly #events: KeptEvent[] = [];
  readonly #waiting = new Set<() => void>();
  #revision = 1;
  #forgottenUpTo = 0;

  /** Revision of the last change of all. */
  get revision(): number {
    return this.#revision;
  }

  /** Watches that wait for a change. */
  get waiting(): number {
    return this.#waiting.size;
  }

  /** Returns an object. */
  get(kind: string, name: string): KeptObject | undefined {
    return this.#kinds.get(kind)?.get(name);
  }

  /** Objects of a kind, by name. */
  list(kind: string): KeptObject[] {
    const objects = [...(this.#kinds.get(kind)?.values() ?? [])];
    return objects.sort((a, b) => a.name < b.name ? -1 : 1);
  }

  /** Makes or changes an object. */
  put(kind: string, change: Change): KeptObject {
    this.#revision += 1;
    const known = this.get(kind, change.name);
    const object: KeptObject = {
      name: change.name,
      revision: this.#revision,
      created: known?.created ?? this.#revision,
      spec: "spec" in change ? change.spec : known?.spec,
      status: "status" in change ? change.status : known?.status,
    };
    const objects = this.#kinds.get(kind) ?? new Map<string, KeptObject>();
    objects.set(change.name, object);
    this.#kinds.set(kind, objects);
    this.#tell({ kind, object, deleted: false });
    return object;
  }

  /** Removes an object. */
  remove(kind: string, name: string): void {
    const known = this.get(kind, name);
    if (known === undefined) return;
    this.#revision += 1;
    this.#kinds.get(kind)?.delete(name);
    const object = { ...known, revision: this.#revision };
    this.#tell({ kind, object, deleted: true });
  }

  /** Forgets all changes so far; watches from before must list again. */
  forgetHistory(): void {
    this.#forgottenUpTo = this.#revision;
  }

  /** Whether changes since a revision are no longer known. */
  isForgotten(revision: number): boolean {
    return revision < this.#forgottenUpTo;
  }

  /** Waits for changes after a revision. */
  async waitFor(
    kind: string,
    { revision, waitMs, stuck, gone }: {
      revision: number;
      waitMs: number;
      stuck: () => boolean;
      /** Whether nobody waits for the answer any more. */
      gone: () => boolean;
    },
  ): Promise<KeptEvent[]> {
    const untilMs = Date.now() + waitMs;
    for (;;) {
      const events = stuck() ? [] : this.#since(kind, revision);
      const leftMs = untilMs - Date.now();
      if (events.length > 0 || leftMs <= 0 || gone()) return events;
      await this.#nextChange(leftMs);
    }
  }

  /** Lets all waiting watches look again. */
  releaseWatches(): void {
    for (const wake of this.#waiting) wake();
  }

  #since(kind: string, revision: number): KeptEvent[] {
    return this.#events.filter((event) =>
      event.kind === kind && event.object.revision > revision
    );
  }

  #nextChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      timer.unref();
      this.#waiting.add(wake);
    });
  }

  #tell(event: KeptEvent): void {
    this.#events.push(event);
    this.releaseWatches();
  }
}
