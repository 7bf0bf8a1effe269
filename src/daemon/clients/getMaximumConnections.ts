import { readFileSync } from 'node:fs';
import type { Settings } from '../../common/settings/index.js';

/** Descriptors reserved for links, backend connections and files; clients get the others. */
const RESERVED_DESCRIPTORS = 600;
const HTTP_SHARE = 0.25;
const MAXIMUM_HTTP_CONNECTIONS = 4096;
const LEAST_CONNECTIONS = 16;
const LIMITS_FILE = '/proc/self/limits';

/** Connections of callers that the descriptors of the process leave room for, up to a maximum. */
export function getMaximumConnections(maximum: number): number {
  const descriptors = readProcessDescriptors() ?? Number.POSITIVE_INFINITY;
  return Math.min(maximum, Math.max(LEAST_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS));
}

/** Connections at one HTTP interface, where the settings name no number. */
export function getMaximumHttpConnections({ clients }: Settings): number {
  const descriptors = readProcessDescriptors() ?? Number.POSITIVE_INFINITY;
  const share = Math.floor(descriptors * HTTP_SHARE);
  const derived = Math.min(MAXIMUM_HTTP_CONNECTIONS, Math.max(LEAST_CONNECTIONS, share));
  return clients.maximum_http_connections ?? derived;
}

function readProcessDescriptors(): number | undefined {
  try {
    const limit = /^Max open files\s+(\d+)/m.exec(readFileSync(LIMITS_FILE, 'utf8'))?.[1];
    return limit === undefined ? undefined : Number(limit);
  } catch {
    // Other systems have no such file; the maximum alone holds there.
    return undefined;
  }
}
