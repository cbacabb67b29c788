/** Stand-in for clients: one request on a connection of its own, or on a kept one. */

import { request } from "node:http";
import { randomBytes } from "node:crypto";

export const HOST = "ficu95.example";
export const KEY = "n2ctnfzs989anu6wsjnb";
export const TENANT = "hule930";

/** An id for one attempt of a client. */
export const newAttempt = () => randomBytes(8).toString("hex");

/**
 * Sends one attempt; resolves with the status, headers and body, or with status 0 and the error if
 * the connection ended without a complete answer.
 */
export function call(address, {
  path,
  method = "POST",
  body,
  attempt = newAttempt(),
  deadlineMs,
  headers = {},
  agent = false,
  key = KEY,
  onSocket = () => {},
  onSent = () => {},
}) {
  const [host, port] = address.split(":");
  const startedMs = performance.now();
  return new Promise((resolve) => {
    let settled = false;
    const timer = setTimeout(() => {
      finish({ status: 0, error: "deadline" });
      req.destroy();
    }, deadlineMs);
    const finish = (result) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve({ attempt, ms: performance.now() - startedMs, ...result });
    };
    const req = request({
      host,
      port,
      method,
      path,
      agent,
      headers: {
        host: HOST,
        "fieldrack-attempt-id": attempt,
        "fieldrack-deadline-ms": String(deadlineMs),
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...(body === undefined ? {} : { "content-length": body.length }),
        ...headers,
      },
    });
    req.on("socket", onSocket);
    req.on("finish", onSent);
    req.on(
      "error",
      (err) => finish({ status: 0, error: err.code ?? err.message }),
    );
    req.on("response", (res) => {
      const chunks = [];
      res.on("data", (chunk) => chunks.push(chunk));
      res.on(
        "error",
        (err) =>
          finish({
            status: 0,
            head: res.statusCode,
            error: err.code ?? err.message,
          }),
      );
      res.on("end", () =>
        finish({
          status: res.statusCode,
          headers: res.headers,
          body: Buffer.concat(chunks),
        }));
    });
    req.end(body);
  });
}
