/** Stand-in for the service that rates model answers, with a configurable delay. */

import fastify, { type FastifyInstance } from "fastify";
import * as z from "zod";
import { listenHttp } from "../runtime/listen.ts";

const DEFAULT_DELAY_MS = 500;
const RIGHT_PREFIX = "right:";

const ratingRequestSchema = z.object({
  request_id: z.string(),
  answer: z.string(),
});
const faultsSchema = z.strictObject({
  /** Delay before every rating, in milliseconds. */
  delay_ms: z.number().min(0).optional(),
  /** Requests are answered with 503 instead of a rating. */
  silent: z.boolean().optional(),
});

/** HTTP server that rates an answer by the prefix that the model server stand-in put there. */
export class RatingStandin {
  readonly #http: FastifyInstance;
  #faults: z.infer<typeof faultsSchema> = {};
  #rated = 0;

  constructor() {
    this.#http = fastify({ forceCloseConnections: true });
    this.#http.post("/v1/ratings", async (req, reply) => {
      const { request_id, answer } = ratingRequestSchema.parse(req.body);
      const delayMs = this.#faults.delay_ms ?? DEFAULT_DELAY_MS;
      await new Promise((resolve) => setTimeout(resolve, delayMs));
      if (this.#faults.silent === true) {
        return reply.code(503).send({ error: "silent" });
      }
      this.#rated += 1;
      return { request_id, score: answer.startsWith(RIGHT_PREFIX) ? 1 : 0 };
    });
    this.#http.get("/counts", () => ({ rated: this.#rated }));
    this.#http.put("/faults", (req) => {
      this.#faults = faultsSchema.parse(req.body);
      return { ok: true };
    });
  }

  /** Starts listening; returns the base URL. */
  async listen(address: string): Promise<string> {
    return `http://${await listenHttp(this.#http, address)}`;
  }

  /** Stops the server and closes all connections. */
  async close(): Promise<void> {
    await this.#http.close();
  }
}
