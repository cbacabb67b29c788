/** Status that a backend server sends along with an answer. */

/** Takes precedence over the VM's own estimate of the server's state. */
export interface ServerNotice {
  /** Backoff that the server requests from this VM, in milliseconds; 0 if none. */
  readonly restMs: number;
  /** Whether the server is about to leave; set in all its answers from then on. */
  readonly leaves: boolean;
  /**
   * Rate limit of the server for all VMs together, in requests per second, valid for as long as the
   * server sends it; undefined if it sends none.
   */
  readonly limitPerS: number | undefined;
  /**
   * Rejections in a second that the server bears from all VMs together before it falls over;
   * undefined if it does not say so.
   */
  readonly bearsPerS: number | undefined;
}
