/** An undici agent whose responses are complete once they are read without an error. */

import { Agent, buildConnector, Pool } from "undici";
import { HttpClient, type HttpClientOptions } from "./http_client.ts";
import type { SocketMeter } from "./socket_meter.ts";

/** Options of an agent. */
export interface HttpAgentOptions
  extends Omit<Agent.Options, "connect" | "pipelining"> {
  readonly pipelining?: HttpClientOptions["pipelining"];
  readonly connect?: { readonly timeout: number };
  /** Counts the bytes that the connections transfer. */
  readonly meter?: SocketMeter;
}

/** The type of undici lacks this option, which it passes on to `net.connect`. */
const HALF_OPEN = { allowHalfOpen: true } as buildConnector.BuildOptions;

/** Must be used for all requests whose responses are read through undici's own functions. */
export class HttpAgent extends Agent {
  constructor({ connect, meter, ...options }: HttpAgentOptions = {}) {
    const open = buildConnector({ ...connect, ...HALF_OPEN });
    super({
      ...options,
      connect: (target, done) =>
        open(target, (...result) => {
          const [err, socket] = result;
          if (err === null) meter?.track(socket);
          done(...result);
        }),
      factory: (origin, poolOptions) =>
        new Pool(origin, {
          ...poolOptions,
          // A pool passes the connector of its agent on to its clients.
          factory: (url, clientOptions) =>
            new HttpClient(url, clientOptions as HttpClientOptions),
        }),
    });
  }
}
