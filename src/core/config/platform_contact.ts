/** What this process has had from the platform itself, rather than from other entry VMs. */

/** Updated by the parts that read the platform. */
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
