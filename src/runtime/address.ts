/** Addresses of the form `IP:port`. */

/** An IP address without brackets and a port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `IP:port`, which must have been validated by a schema. */
export function parseAddress(address: string): HostPort {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}

/** Returns `IP:port`, with brackets around an IPv6 address. */
export function formatAddress({ host, port }: HostPort): string {
  return host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`;
}
