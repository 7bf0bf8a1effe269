import { expect, test } from 'vitest';
import { ManualTimerService } from '../../common/timer/manualTimerService.js';
import { toHostId, toRevision } from '../../common/ids/index.js';
import {
  ControlOutputKind,
  type ControlRecord,
  type Update,
} from '../../decisions/control/index.js';
import { RecordPusher } from './recordPusher.js';

function createUpdate(since: number, revision: number, names: readonly string[], host: string) {
  const records = names.map((name) => ({ name, revision: toRevision(revision) }));
  const update = { since: toRevision(since), revision: toRevision(revision) };
  return {
    kind: ControlOutputKind.Update,
    hosts: [toHostId(host)],
    update: { ...update, records: records as unknown as readonly ControlRecord[] },
  } satisfies Update;
}

function createPusher() {
  const timer = new ManualTimerService();
  const sent: Update[] = [];
  return { timer, sent, pusher: new RecordPusher(timer, (update) => sent.push(update)) };
}

test('changes of one event loop turn are sent together, each record once and up to date', () => {
  const { timer, sent, pusher } = createPusher();
  pusher.push(createUpdate(4, 5, ['a', 'b'], 'h1'));
  pusher.push(createUpdate(5, 7, ['c'], 'h1'));
  pusher.push(createUpdate(7, 8, ['a'], 'h2'));
  timer.advance(1);
  expect(sent).toMatchObject([
    {
      hosts: ['h2'],
      update: {
        ...{ since: 4, revision: 8 },
        records: [
          { name: 'b', revision: 5 },
          { name: 'c', revision: 7 },
          { name: 'a', revision: 8 },
        ],
      },
    },
  ]);
  pusher.push(createUpdate(8, 9, ['c'], 'h2'));
  timer.advance(1);
  expect(sent).toMatchObject([{}, { update: { since: 8, revision: 9 } }]);
});

test('changes after a gap in the revisions, as after a change of leader, are sent separately', () => {
  const { timer, sent, pusher } = createPusher();
  const first = createUpdate(4, 5, ['a'], 'h1');
  const second = createUpdate(9, 10, ['a'], 'h1');
  pusher.push(first);
  pusher.push(second);
  timer.advance(1);
  expect(sent).toEqual([first, second]);
});

test('no update is sent after the pusher was stopped', () => {
  const { timer, sent, pusher } = createPusher();
  pusher.push(createUpdate(4, 5, ['a'], 'h1'));
  pusher.stop();
  timer.advance(1);
  expect(sent).toEqual([]);
});
