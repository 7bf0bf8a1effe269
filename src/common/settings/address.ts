/** A host and port taken from `ip:port` or `[ipv6]:port`. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Splits a checked address of the settings. */
export function splitAddress(address: string): Address {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

/** Joins a host and port; an IPv6 address is put in brackets. */
export function formatAddress(address: Address): string {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

/** Whether an address is reachable from its own host only. */
export function isLoopback(address: Address): boolean {
  return address.host === '::1' || address.host.startsWith('127.');
}
