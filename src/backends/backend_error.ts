/** Why a backend server gave no answer. */

/** Ways in which a try at a backend server fails. */
export type BackendError =
  /** No connection, so no byte was sent. */
  | { readonly tag: "refused"; readonly reason: string }
  /** Request was sent, or may have been; it may have run. */
  | { readonly tag: "failed"; readonly reason: string }
  /** Server answered with an error of its own. */
  | {
    readonly tag: "rejected";
    readonly status: number;
    readonly reason: string;
    /** How long the server wants nothing from this entry, in milliseconds; 0 if it says nothing. */
    readonly restMs: number;
  }
  /** Answer belongs to another request, or has no known form. */
  | { readonly tag: "wrong_answer"; readonly reason: string }
  /** Deadline expired or the caller went; `sent` tells whether bytes may have left. */
  | { readonly tag: "aborted"; readonly sent: boolean };

const NOT_CONNECTED = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Turns what the HTTP client threw into a typed error. */
export function toBackendError(err: unknown): BackendError {
  const { name, code, message } = err as NodeJS.ErrnoException;
  if (name === "AbortError") return { tag: "aborted", sent: true };
  const reason = code ?? message;
  if (NOT_CONNECTED.has(reason)) return { tag: "refused", reason };
  return { tag: "failed", reason };
}

/** Says in words why the try failed. */
export function describeBackendError(err: BackendError): string {
  switch (err.tag) {
    case "refused":
      return `connection refused (${err.reason})`;
    case "failed":
      return `connection failed (${err.reason})`;
    case "rejected":
      return `status ${err.status}${
        err.reason === "" ? "" : `, ${err.reason}`
      }`;
    case "wrong_answer":
      return err.reason;
    case "aborted":
      return "given up";
  }
}
