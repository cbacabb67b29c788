/** The `--platform` option and the client that it configures. */

import { HttpPlatform } from "../platform/http_platform.ts";

const PLATFORM_TIMEOUT_MS = 2_000;

/** Option of all commands that connect to the platform. */
export const platformOption = {
  type: "string",
  demandOption: true,
  describe: "Base URL of the platform's object API",
} as const;

/** Runs `work` with a platform client, which is closed afterwards. */
export async function withPlatform<T>(
  url: string,
  work: (platform: HttpPlatform) => Promise<T>,
): Promise<T> {
  const platform = new HttpPlatform({ url, timeoutMs: PLATFORM_TIMEOUT_MS });
  try {
    return await work(platform);
  } finally {
    await platform.close();
  }
}
