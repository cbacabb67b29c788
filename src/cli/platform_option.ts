/** The option that names the platform. */

import { HttpPlatform } from "../platform/http_platform.ts";

const TIMEOUT_MS = 2_000;

/** Option of all commands that need the platform. */
export const platformOption = {
  type: "string",
  demandOption: true,
  describe: "Base URL of the platform's object API",
} as const;

/** Runs `work` with a client of the platform. */
export async function withPlatform<T>(
  url: string,
  work: (platform: HttpPlatform) => Promise<T>,
): Promise<T> {
  const platform = new HttpPlatform({ url, timeoutMs: TIMEOUT_MS });
  try {
    return await work(platform);
  } finally {
    await platform.close();
  }
}
