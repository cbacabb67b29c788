/** A client: one attempt, each with an id of its own. */

import { Agent, request } from "node:http";
import { HOST, KEY, record } from "./play.mjs";

let serial = 0;

export function newAttemptId() {
  return (0x9c41d07be2a30000n + BigInt(++serial)).toString(16);
}

/** Sends one request; resolves with what the client sees. Never rejects. */
export function send(gateway, {
  path,
  method = "POST",
  body = "",
  deadlineMs,
  headers = {},
  attempt = newAttemptId(),
  agent,
  onData = () => {},
}) {
  const startedMs = performance.now();
  record(`sent ${attempt} ${method} ${path} to ${gateway.name}`);
  return new Promise((done) => {
    let isDone = false;
    const finish = (result) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      const { status, text, error } = result;
      record(`answered ${attempt}: ${error ?? "whole"}, status ${status}, ${text.length} B`);
      done({ attempt, ms: performance.now() - startedMs, ...result });
    };
    const req = request({
      ...gateway.front,
      method,
      path,
      agent: agent ?? false,
      headers: {
        host: HOST,
        authorization: `Bearer ${KEY}`,
        "fieldrack-attempt-id": attempt,
        "fieldrack-deadline-ms": String(deadlineMs),
        "content-length": Buffer.byteLength(body),
        ...headers,
      },
    }, (res) => {
      let text = "";
      res.on("data", (data) => {
        text += data;
        onData(data);
      });
      res.on("end", () => finish({ status: res.statusCode, headers: res.headers, text, isWhole: true }));
      res.on("error", (err) => finish({ status: res.statusCode, headers: res.headers, text, isWhole: false, error: err.code }));
    });
    req.on("error", (err) => finish({ status: 0, error: err.code ?? err.message, text: "", isWhole: false }));
    const timer = setTimeout(() => {
      finish({ status: 0, error: "deadline", text: "", isWhole: false });
      req.destroy();
    }, deadlineMs);
    req.end(body);
  });
}

export function keptAgent() {
  return new Agent({ keepAlive: true, maxSockets: 64 });
}
