import { isIP } from 'node:net';

/** Host and port of an address in the form `ip:port` or `[ipv6]:port`. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

const ADDRESS = /^(?:(\d{1,3}(?:\.\d{1,3}){3})|\[([0-9a-fA-F:.]{2,45})\]):(\d{1,5})$/;
const MAXIMUM_PORT = 65_535;

/** Returns whether a text is an IP address with a port: `10.0.1.1:7400` or `[fd00::1]:7400`. */
export function isAddress(text: string): boolean {
  const [, ipv4, ipv6, port] = ADDRESS.exec(text) ?? [];
  return isIP(ipv4 ?? ipv6 ?? '') !== 0 && Number(port) <= MAXIMUM_PORT;
}

/** Returns whether a text is an address to connect to, which excludes port 0. */
export function isPeerAddress(text: string): boolean {
  return isAddress(text) && splitAddress(text).port > 0;
}

/** Splits an address that `isAddress` accepts into host and port. */
export function splitAddress(address: string): Address {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

/** Joins a host and port; encloses an IPv6 address in brackets. */
export function formatAddress(address: Address): string {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

/** Returns whether an address is a loopback address, reachable from its own host only. */
export function isLoopback(address: Address): boolean {
  return address.host === '::1' || address.host.startsWith('127.');
}
