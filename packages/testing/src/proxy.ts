/**
 * The fault proxy as a stand-in of its own, with a control port.
 *
 * @module
 */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { FaultProxy, readProxyFault } from "./process/fault_proxy.ts";
import { readJson, sendJson, type StandIn } from "./process/http_server.ts";

/** Settings of a proxy process. */
export interface ProxyConfig {
  /** 0 lets the system choose. */
  readonly port: number;
  readonly controlPort: number;
  readonly targetAddress: string;
  readonly targetPort: number;
}

/** Defaults of a proxy's settings. */
export const PROXY_DEFAULTS: ProxyConfig = {
  port: 0,
  controlPort: 0,
  targetAddress: "127.0.0.1",
  targetPort: 0,
};

const ADDRESS = "127.0.0.1";
const BAD_REQUEST = 400;
const NOT_FOUND = 404;

/** Starts a proxy that takes `POST /control` on a port of its own. */
export async function startProxy(config: ProxyConfig): Promise<StandIn> {
  const target = { address: config.targetAddress, port: config.targetPort };
  const proxy = await FaultProxy.start(target, { port: config.port });
  const control = createServer(async (request, response) => {
    if (request.method !== "POST" || request.url !== "/control") {
      const error = `Unknown path "${request.url}"`;
      return sendJson(response, { error }, { status: NOT_FOUND });
    }
    const order = readProxyFault(await readJson(request));
    if (typeof order === "string") {
      return sendJson(response, { error: order }, { status: BAD_REQUEST });
    }
    proxy.order(order);
    sendJson(response, { fault: order.fault });
  });
  await new Promise<void>((resolve, reject) => {
    control.once("error", reject);
    control.listen(config.controlPort, ADDRESS, resolve);
  });
  const { port } = control.address() as AddressInfo;
  return {
    url: proxy.url,
    port: proxy.port,
    controlUrl: `http://${ADDRESS}:${port}`,
    close: async () => {
      control.closeAllConnections();
      await new Promise((resolve) => control.close(resolve));
      await proxy.close();
    },
  };
}
