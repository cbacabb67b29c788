/** What this process has had from the platform itself, rather than from other entry VMs. */

/** Kept by whoever reads the platform. */
export class PlatformContact {
  #hasReadHead = false;

  /** Whether the head was read, and taken, since this process started. */
  get hasReadHead(): boolean {
    return this.#hasReadHead;
  }

  /** Notes that the head was read and is in force here. */
  noteHeadRead(): void {
    this.#hasReadHead = true;
  }
}
