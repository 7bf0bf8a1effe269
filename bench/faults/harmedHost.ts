/**
 * Loaded into a daemon's process before the daemon (`--import`): its files and its wall clock misbehave as the
 * file named by `FAULTS_FILE` says. The daemon itself knows nothing of it.
 */
import { existsSync, readFileSync } from 'node:fs';
import { open, type FileHandle } from 'node:fs/promises';
import { Socket } from 'node:net';

/** How a host's disk and clock misbehave. */
export interface HostHarm {
  /** `full` and `failing` refuse writes, `stalled` answers none until it ends, `slow` answers late. */
  readonly disk?: 'full' | 'failing' | 'stalled' | 'slow';
  /** What the wall clock is off by, in milliseconds. */
  readonly clockMs?: number;
  /** Processor time that each read of a socket takes besides, in milliseconds: a small core under load. */
  readonly readMs?: number;
}

const POLL_MS = 25;
const SLOW_MS = 120;
const CODES = { full: 'ENOSPC', failing: 'EIO' } as const;
const CHANGES = ['appendFile', 'write', 'writev', 'writeFile', 'truncate'] as const;
const SYNCS = ['sync', 'datasync'] as const;

const file = process.env.FAULTS_FILE ?? '';
const readWallMs = Date.now.bind(Date);
let harm: HostHarm = {};

function look(): void {
  harm = existsSync(file) ? (JSON.parse(readFileSync(file, 'utf8')) as HostHarm) : {};
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/** Holds the event loop. */
function spend(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

async function suffer(isSync: boolean): Promise<void> {
  while (harm.disk === 'stalled') {
    await sleep(POLL_MS);
  }
  if (harm.disk === 'slow') {
    await sleep(SLOW_MS);
  }
  const { disk } = harm;
  if (disk === 'failing' || (disk === 'full' && !isSync)) {
    const code = CODES[disk];
    throw Object.assign(new Error(`${code}: told by the fault soak`), { code });
  }
}

type Emit = (this: unknown, event: string, ...values: unknown[]) => boolean;
type Call = (this: FileHandle, ...values: unknown[]) => Promise<unknown>;

function wrap(prototype: Record<string, Call>, name: string, isSync: boolean): void {
  const original = prototype[name];
  if (original !== undefined) {
    prototype[name] = async function (...values) {
      await suffer(isSync);
      return original.apply(this, values);
    };
  }
}

const handle = await open('/dev/null', 'r');
const prototype = Object.getPrototypeOf(handle) as Record<string, Call>;
await handle.close();
CHANGES.forEach((name) => wrap(prototype, name, false));
SYNCS.forEach((name) => wrap(prototype, name, true));
const sockets = Socket.prototype as unknown as Record<'emit', Emit>;
const { emit } = sockets;
sockets.emit = function (event, ...values) {
  if (event === 'data') {
    spend(harm.readMs ?? 0);
  }
  return emit.call(this, event, ...values);
};
Date.now = () => readWallMs() + (harm.clockMs ?? 0);
look();
setInterval(look, POLL_MS).unref();
