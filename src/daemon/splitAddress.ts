import { assertInvariant } from '../common/diagnostics/index.js';

/** Splits a checked `ip:port` address. */
export function splitAddress(address: string): { readonly ip: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  assertInvariant(colon > 0, 'an address has the form ip:port');
  const ip = address.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
  return { ip, port: Number(address.slice(colon + 1)) };
}
