/** Loaded into the gateway processes of the soak test: cuts their links to servers on request. */

import { Socket } from "node:net";
import process from "node:process";

/** Servers and the store proxy listen here; gateways listen on addresses of their own. */
const SERVER_HOST = "127.0.0.1";
const storePort = Number(process.env.SOAK_STORE_PORT);
const links = new Set();
/** How links fail: "hang", "reset", "refuse_new"; undefined while they work. */
let manner;

process.on("message", ({ cut }) => {
  const before = manner;
  manner = cut;
  for (const socket of links) {
    if (cut === "hang") hold(socket);
    // What a partition has held up is lost when it ends.
    else if (cut === "reset" || before === "hang") socket.resetAndDestroy();
  }
});
process.channel?.unref();

const connect = Socket.prototype.connect;
Socket.prototype.connect = function (...args) {
  // Node passes normalized arguments as an array.
  const options = Array.isArray(args[0]) ? args[0][0] : args[0];
  const isLink = options?.host === SERVER_HOST &&
    Number(options.port) !== storePort;
  if (!isLink) return connect.apply(this, args);
  if (manner === "hang") {
    this.connecting = true;
    return this;
  }
  if (manner !== undefined) {
    const code = manner === "reset" ? "ECONNRESET" : "ECONNREFUSED";
    const err = Object.assign(new Error(code), { code });
    process.nextTick(() => this.destroy(err));
    return this;
  }
  links.add(this);
  this.once("close", () => links.delete(this));
  return connect.apply(this, args);
};

/** Neither delivers nor reads any more bytes. */
function hold(socket) {
  socket._write = () => {};
  socket._writev = undefined;
  socket._handle?.readStop();
}
