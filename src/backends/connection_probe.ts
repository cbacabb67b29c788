/** Finds out whether a connection to a backend server can be opened. */

import { parseAddress } from "../runtime/address.ts";
import type { ServerConnector } from "./server_connector.ts";

/** Opens and closes a connection; resolves with the error code if that fails. */
export function probeConnection(
  connector: ServerConnector,
  address: string,
): Promise<string | undefined> {
  return new Promise((resolve) => {
    connector.connect(parseAddress(address), (result) => {
      if ("socket" in result) {
        result.socket.destroy();
        resolve(undefined);
      } else {
        resolve(result.error.code ?? result.error.message);
      }
    });
  });
}
