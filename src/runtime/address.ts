/** Addresses of the form `IP:port`. */

/** An IP number and a port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `IP:port`; the form has been checked by a schema. */
export function parseAddress(address: string): HostPort {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}

/** Puts an address together again. */
export function formatAddress({ host, port }: HostPort): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
