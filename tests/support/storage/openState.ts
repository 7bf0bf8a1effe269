import { Logger } from '../../../src/common/logging/index.js';
import { ManualTimerService, type TimerService } from '../../../src/common/timer/index.js';
import { FileLogStorage, type Disk, type LogFounding } from '../../../src/daemon/storage/index.js';
import { createEmptyState, type StoredState } from '../../../src/decisions/consensus/index.js';
import { storedIdentity } from './changeMaker.js';

/** An empty log of the member. */
export function createFounding(): LogFounding<string> {
  return { identity: storedIdentity, state: createEmptyState() };
}

/** A storage on a disk; `lines` takes what it logs. */
export function createStorage<Command = string>(
  disk: Disk,
  timer: TimerService = new ManualTimerService(),
  lines: string[] = [],
): FileLogStorage<Command> {
  const logger = new Logger('info', {}, (line) => lines.push(line));
  return new FileLogStorage<Command>(disk, timer, logger);
}

/** The state that an opening finds, in a form to compare. */
export async function openState(disk: Disk): Promise<StoredState<string>> {
  const opened = await createStorage(disk).open(createFounding);
  return toComparable(opened._unsafeUnwrap().state);
}

function toComparable(state: StoredState<string>): StoredState<string> {
  const { snapshot } = state;
  return snapshot === undefined
    ? state
    : { ...state, snapshot: { ...snapshot, state: Uint8Array.from(snapshot.state) } };
}
