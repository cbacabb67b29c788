/** Replies to incomplete or invalid HTTP requests, for which there is no reply object. */

import { Buffer } from "node:buffer";
import { STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import type { RequestId } from "../core/ids.ts";
import { httpStatusOf, type RequestError } from "../core/request_error.ts";
import { errorBody } from "./error_reply.ts";

/** The error, and the time limit for receiving a request. */
export interface ClientErrorInput {
  readonly err: NodeJS.ErrnoException;
  readonly requestId: RequestId;
  readonly limitMs: number;
}

/** Writes an error response with the common error body to the socket and closes it. */
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
        reason: "they exceed the size limit",
      };
    default:
      return { tag: "malformed", where: "request", reason: err.message };
  }
}
