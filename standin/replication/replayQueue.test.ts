import { describe, expect, it } from 'vitest';
import { toLogPosition, toTerm } from '../../src/common/ids/index.js';
import { ManualTimerService } from '../../src/common/timer/index.js';
import { createFaults, type Faults } from '../instance/faults.js';
import { standinSettingsSchema } from '../settings/index.js';
import { ReplayQueue } from './replayQueue.js';

function create(change: Partial<Faults>) {
  const settings = standinSettingsSchema.parse({
    group: 'g',
    instance: 'a',
    domain: 'd',
    listen: '127.0.0.1:0',
    http: '127.0.0.1:0',
  });
  const faults = { ...createFaults(settings), ...change };
  const timer = new ManualTimerService();
  const replayed: (readonly [position: number, atMs: number])[] = [];
  const queue = new ReplayQueue(faults, timer, ({ position }) => {
    replayed.push([position, timer.now()]);
  });
  const add = (position: number): void =>
    queue.add({
      term: toTerm(1),
      position: toLogPosition(position),
      committedAtMs: 0,
      changes: [],
    });
  return { faults, timer, replayed, queue, add };
}

describe('ReplayQueue', () => {
  it('replays at once without a lag', () => {
    const { add, replayed } = create({});
    [1, 2].forEach(add);
    expect(replayed).toEqual([
      [1, 0],
      [2, 0],
    ]);
  });

  it('holds each record back for the lag', () => {
    const { add, timer, replayed } = create({ lagMs: 100 });
    add(1);
    timer.advance(40);
    add(2);
    timer.advance(59);
    expect(replayed).toEqual([]);
    timer.advance(1000);
    expect(replayed).toEqual([
      [1, 100],
      [2, 140],
    ]);
  });

  it('replays no more records a second than the rate', () => {
    const { add, timer, replayed } = create({ replicationRate: 10 });
    [1, 2, 3].forEach(add);
    timer.advance(1000);
    expect(replayed).toEqual([
      [1, 100],
      [2, 200],
      [3, 300],
    ]);
  });

  it('keeps the order when the lag falls while records wait', () => {
    const { add, faults, timer, replayed } = create({ lagMs: 100 });
    add(1);
    faults.lagMs = 0;
    add(2);
    timer.advance(100);
    expect(replayed.map(([position]) => position)).toEqual([1, 2]);
  });

  it('drops what waits when it is cleared', () => {
    const { add, queue, timer, replayed } = create({ lagMs: 100 });
    add(1);
    queue.clear();
    add(2);
    timer.advance(1000);
    expect(replayed).toEqual([[2, 100]]);
  });
});
