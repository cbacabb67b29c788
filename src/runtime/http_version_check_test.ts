import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { describe, it } from "node:test";
import { HttpVersionCheck } from "./http_version_check.ts";

/** Whether a response is accepted whose bytes arrive in chunks of a size. */
function accepts(response: string, chunkBytes: number): boolean {
  const check = new HttpVersionCheck();
  check.expectResponse();
  const bytes = Buffer.from(response, "latin1");
  for (let at = 0; at < bytes.length; at += chunkBytes) {
    if (!check.accepts(bytes.subarray(at, at + chunkBytes))) return false;
  }
  return true;
}

describe("check of the HTTP version", () => {
  for (const chunkBytes of [1, 2, 5, 9, 1_000]) {
    it(`should accept HTTP/1.0 and 1.1 only, in chunks of ${chunkBytes}`, () => {
      const emptyLines = "\r\n".repeat(20);
      for (const version of ["HTTP/1.0", "HTTP/1.1"]) {
        assert.ok(accepts(`${version} 200 OK\r\n\r\nHTTP/2.0`, chunkBytes));
        assert.ok(accepts(`${emptyLines}${version} 200 OK`, chunkBytes));
      }
      for (const version of ["HTTP/0.9", "HTTP/2.0", "HTTP/11", "ICY", ""]) {
        assert.ok(!accepts(`${version} 200 OK\r\n`, chunkBytes));
        assert.ok(!accepts(`${emptyLines}${version} 200 OK`, chunkBytes));
      }
    });
  }

  it("should check each response", () => {
    const check = new HttpVersionCheck();
    for (const version of ["HTTP/1.1", "HTTP/1.0"]) {
      check.expectResponse();
      assert.ok(check.accepts(Buffer.from(`${version} 200 OK`)));
    }
    check.expectResponse();
    assert.ok(!check.accepts(Buffer.from("HTTP/2.0 200 OK")));
  });
});
