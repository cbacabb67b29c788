/** Answers to what is not a whole HTTP request, for which there is no reply object. */

import { Buffer } from "node:buffer";
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { RequestId } from "../core/ids.ts";
import { httpStatusOf, type RequestError } from "../core/request_error.ts";
import { errorBody } from "./error_reply.ts";

/** What went wrong, and for how long a request may last. */
export interface ClientErrorInput {
  readonly err: NodeJS.ErrnoException;
  readonly requestId: RequestId;
  readonly limitMs: number;
}

/** Writes an error to the socket in the form of all errors, and closes it. */
export function answerClientError(
  socket: Socket,
  input: ClientErrorInput,
): void {
  if (input.err.code === "ECONNRESET" || !socket.writable) {
    return void socket.destroy();
  }
  const requestError = requestErrorOf(input);
  const body = JSON.stringify(errorBody(requestError, input.requestId));
  const status = httpStatusOf(requestError);
  socket.end(
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nconnection: close\r\n` +
      "content-type: application/json; charset=utf-8\r\n" +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}

function requestErrorOf({ err, limitMs }: ClientErrorInput): RequestError {
  switch (err.code) {
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return { tag: "too_slow", limitMs };
    case "HPE_HEADER_OVERFLOW":
      return {
        tag: "malformed",
        where: "headers",
        reason: "they are too large",
      };
    default:
      return { tag: "malformed", where: "request", reason: err.message };
  }
}
