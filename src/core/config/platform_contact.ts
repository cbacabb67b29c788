/** What this process has read from the platform directly, rather than from other entry VMs. */

/** Records direct reads of the platform since the process started. */
export class PlatformContact {
  #hasReadHead = false;

  /** Whether the head was read from the platform and put in force since this process started. */
  get hasReadHead(): boolean {
    return this.#hasReadHead;
  }

  /** Records that the head was read from the platform and is in force here. */
  recordHeadRead(): void {
    this.#hasReadHead = true;
  }
}
