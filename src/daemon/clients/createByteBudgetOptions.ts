import { getHeapStatistics } from 'node:v8';
import type { Settings } from '../../common/settings/index.js';
import type { ByteBudgetOptions } from '../../decisions/callers/index.js';

const BYTES_PER_MB = 1_000_000;
/** Memory of a host for each byte of the engine's heap, where the platform names no memory. */
const MEMORY_PER_HEAP = 1.56;
/**
 * Share of a host's memory that clients may make the process hold: of 250 MB, a process at rest takes
 * 90, and received bytes that are not collected yet up to as much again as what is held.
 */
const HELD_SHARE = 0.15;
/** Share of the budget for one connection; a running statement of 1 MiB is charged four times. */
const CONNECTION_SHARE = 0.2;

/** Derives the limits in bytes from the settings, and those not set from the host's memory. */
export function createByteBudgetOptions({ clients }: Settings): ByteBudgetOptions {
  const { memory_mb: memoryMb, held_bytes: heldBytes } = clients;
  const memoryBytes =
    memoryMb === undefined
      ? getHeapStatistics().heap_size_limit * MEMORY_PER_HEAP
      : memoryMb * BYTES_PER_MB;
  const totalBytes = heldBytes ?? Math.round(memoryBytes * HELD_SHARE);
  return {
    totalBytes,
    connectionBytes: clients.connection_bytes ?? Math.round(totalBytes * CONNECTION_SHARE),
    messageTimeoutMs: clients.message_timeout_ms,
    answerTimeoutMs: clients.answer_timeout_ms,
    introductionTimeoutMs: clients.introduction_timeout_ms,
  };
}
