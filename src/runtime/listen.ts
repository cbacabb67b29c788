/** Listens on addresses from the settings; with port 0 the system chooses a free port. */

import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { FastifyInstance } from "fastify";
import { formatAddress, parseAddress } from "./address.ts";

/** Starts a fastify server; returns the address that it listens on. */
export async function listenHttp(
  http: FastifyInstance,
  address: string,
): Promise<string> {
  await http.listen(parseAddress(address));
  return boundAddress(http.server as Server);
}

/** Returns the address on which a server listens. */
export function boundAddress(server: Server): string {
  const { address, port } = server.address() as AddressInfo;
  return formatAddress({ host: address, port });
}
