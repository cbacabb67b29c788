import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import type { VmSettings } from "../platform/vm_settings_wire.ts";
import { ControlServer } from "./control_server.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";

describe("control server", () => {
  it("should start without metrics and log a warning if the metrics port is taken", async () => {
    const blocker = createServer().listen(0, "127.0.0.1");
    await once(blocker, "listening");
    const metricsPort = (blocker.address() as AddressInfo).port;
    const warnings: string[] = [];
    const server = new ControlServer(
      {
        vmSettings: { ip: "127.0.0.1", metricsPort, listen: {} } as VmSettings,
        gatewayMetrics: new GatewayMetrics(),
        logger: {
          warn: (message: string) => warnings.push(message),
        } as unknown,
      } as unknown as ConstructorParameters<typeof ControlServer>[0],
    );
    await server.listen();
    assert.deepEqual(warnings, ["Metrics are not served"]);
    await server.close();
    blocker.close();
  });
});
