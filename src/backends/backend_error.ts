/** Errors of requests to backend servers. */

/** Why an attempt at a backend server failed. */
export type BackendError =
  /** The connection failed, so no byte was sent. */
  | { readonly tag: "refused"; readonly reason: string }
  /** The request was sent, or may have been, and the server may have processed it. */
  | { readonly tag: "failed"; readonly reason: string }
  /** The server responded with an error status. */
  | {
    readonly tag: "rejected";
    readonly status: number;
    readonly reason: string;
    /** Backoff that the server requests from this entry, in milliseconds; 0 if none. */
    readonly restMs: number;
  }
  /** The response belongs to another request or is malformed. */
  | { readonly tag: "wrong_answer"; readonly reason: string }
  /** The response is too large for the memory that this entry has left. */
  | { readonly tag: "no_memory"; readonly reason: string }
  /** The deadline expired or the caller disconnected; `sent`: whether bytes may have been sent. */
  | { readonly tag: "aborted"; readonly sent: boolean };

const CONNECT_ERRORS = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Thrown when a response is too large for the memory left. */
export class ResponseMemoryError extends Error {}

/** Converts an error thrown by the HTTP client. */
export function toBackendError(err: unknown): BackendError {
  const { name, code, message } = err as NodeJS.ErrnoException;
  if (name === "AbortError") return { tag: "aborted", sent: true };
  if (err instanceof ResponseMemoryError) {
    return { tag: "no_memory", reason: message };
  }
  const reason = code ?? message;
  if (CONNECT_ERRORS.has(reason)) return { tag: "refused", reason };
  return { tag: "failed", reason };
}

/** Describes the error for logs and error messages. */
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
    case "no_memory":
      return err.reason;
    case "aborted":
      return "aborted";
  }
}
