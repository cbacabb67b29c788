/** Result of an operation whose errors the caller must handle. */

/** Either a value or a typed error. */
export type Result<T, E> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly error: E };

/** Wraps a value. */
export function ok<T>(value: T): { readonly ok: true; readonly value: T } {
  return { ok: true, value };
}

/** Wraps an error. */
export function fail<E>(error: E): { readonly ok: false; readonly error: E } {
  return { ok: false, error };
}
