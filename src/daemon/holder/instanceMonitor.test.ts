import { expect, test } from 'vitest';
import { toGroupId, toInstanceId, toLogPosition, toTerm } from '../../common/ids/index.js';
import { ManualTimerService } from '../../common/timer/index.js';
import {
  BackendProbe,
  BackendProtocol,
  type BackendLink,
  type ProbeAnswer,
} from '../backend/index.js';
import { InstanceMonitor } from './instanceMonitor.js';

/** Protocol of an instance that fails new connections, is at its connection limit, or answers. */
class ScriptedProtocol extends BackendProtocol {
  override readonly isPerAccount = true;
  override readonly checksMinimum = true;
  state: 'gone' | 'full' | 'answering' = 'answering';

  override open(): Promise<BackendLink> {
    return Promise.reject(new Error('the monitor opens no pool connections'));
  }

  override createProbe(): BackendProbe {
    return new ScriptedProbe(this);
  }
}

class ScriptedProbe extends BackendProbe {
  constructor(private readonly protocol: ScriptedProtocol) {
    super();
  }

  override open(): Promise<boolean> {
    return this.protocol.state === 'gone'
      ? Promise.reject(new Error('refused'))
      : Promise.resolve(this.protocol.state === 'answering');
  }

  override queryState(): Promise<ProbeAnswer> {
    const logState = { term: toTerm(1), position: toLogPosition(7), received: toLogPosition(7) };
    return Promise.resolve({ ...logState, isPrimary: true });
  }

  override close(): void {
    // No resources to release.
  }
}

async function runMonitor(state: ScriptedProtocol['state'], durationMs: number) {
  const timer = new ManualTimerService();
  const protocol = new ScriptedProtocol();
  protocol.state = state;
  const seen = { answers: 0, lost: 0 };
  const listener = {
    probeAnswered: () => (seen.answers += 1),
    probeFailed: () => undefined,
    connectionsSuspected: () => undefined,
    instanceUnreachable: () => (seen.lost += 1),
  };
  const target = { address: '', group: toGroupId('g'), instance: toInstanceId('i') };
  const monitor = new InstanceMonitor(target, protocol, timer, listener, true);
  monitor.start();
  const run = async (timeMs: number): Promise<void> => {
    for (let step = 0; step < timeMs / 10; step += 1) {
      timer.advance(10);
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  await run(durationMs);
  return { seen, protocol, run };
}

test('an instance that refuses all new connections is reported as unreachable once', async () => {
  expect((await runMonitor('gone', 1000)).seen).toEqual({ answers: 0, lost: 1 });
});

test('an instance at its connection limit is not unreachable, and is probed once a connection is free', async () => {
  const { seen, protocol, run } = await runMonitor('full', 3000);
  expect(seen).toEqual({ answers: 0, lost: 0 });
  protocol.state = 'answering';
  await run(500);
  expect(seen.answers).toBeGreaterThan(0);
  expect(seen.lost).toBe(0);
});
