import { describe, expect, it } from 'vitest';
import { classifyFailure, LoadOutcome, RequestStage } from './loadOutcome.js';
import { WriteHistory, type HistoryRecord } from './writeHistory.js';

function entries(...ids: readonly string[]): HistoryRecord[] {
  return ids.map((id) => ({
    changes: [{ kind: 'put', table: 'load_entries', row: [id, 'press'] }],
  }));
}

function counter(value: number): HistoryRecord {
  return { changes: [{ kind: 'put', table: 'load_counters', row: ['press', value] }] };
}

function createHistory(outcome?: LoadOutcome, count?: string): WriteHistory {
  const history = new WriteHistory();
  history.begin('w', count);
  if (outcome !== undefined) {
    history.end('w', outcome);
  }
  return history;
}

describe('WriteHistory', () => {
  it.each([
    [LoadOutcome.Acknowledged, 1],
    [LoadOutcome.Unknown, 0],
    [LoadOutcome.Unknown, 1],
    [LoadOutcome.NotRun, 0],
    [LoadOutcome.Failed, 0],
    [LoadOutcome.Unsent, 0],
    [undefined, 1],
  ])('takes %s applied %i times', (outcome, times) => {
    const ids = Array.from({ length: times }, () => 'w');
    expect(createHistory(outcome).check(entries(...ids))).toEqual([]);
  });

  it.each([
    [LoadOutcome.Acknowledged, ['acknowledged write lost', 0], []],
    [LoadOutcome.Acknowledged, ['write applied twice', 2], ['w', 'w']],
    [LoadOutcome.Unknown, ['write applied twice', 2], ['w', 'w']],
    [LoadOutcome.NotRun, ['write applied though not run', 1], ['w']],
    [LoadOutcome.Failed, ['write applied though not run', 1], ['w']],
    [LoadOutcome.Unsent, ['write applied though not run', 1], ['w']],
  ])('finds for %s: %s', (outcome, [promise, times], ids) => {
    expect(createHistory(outcome).check(entries(...ids))).toEqual([{ promise, id: 'w', times }]);
  });

  it('finds writes that nobody asked for', () => {
    const faults = createHistory(LoadOutcome.Acknowledged).check(entries('w', 'x'));
    expect(faults).toEqual([{ promise: 'write never asked for', id: 'x', times: 1 }]);
  });

  it('finds a lost update of a counter', () => {
    const history = createHistory(LoadOutcome.Acknowledged, 'press');
    expect(history.check([...entries('w'), counter(1)])).toEqual([]);
    expect(history.check([...entries('w'), counter(2), counter(0)])).toEqual([
      { promise: 'counter off', id: 'press', times: 0 },
    ]);
  });
});

describe('classifyFailure', () => {
  const { Connecting, Preparing, Sending } = RequestStage;
  const server = { severity: 'ERROR', code: '57P03', detail: 'not run; retry after 9 ms' };

  it.each([
    ['a refusal', server, Sending, LoadOutcome.NotRun, false],
    ['a fatal refusal', { ...server, severity: 'FATAL' }, Sending, LoadOutcome.NotRun, true],
    [
      'an unknown outcome',
      { ...server, code: '08007', detail: 'unknown' },
      Sending,
      LoadOutcome.Unknown,
      false,
    ],
    [
      'a lost server',
      { ...server, code: '57P01', detail: undefined },
      Sending,
      LoadOutcome.Unknown,
      false,
    ],
    [
      'a duplicate key',
      { ...server, code: '23505', detail: 'Key exists.' },
      Sending,
      LoadOutcome.Failed,
      false,
    ],
    [
      'an error before a commit',
      { ...server, code: '57P01', detail: 'unknown' },
      Preparing,
      LoadOutcome.Failed,
      false,
    ],
    [
      'too many connections',
      { severity: 'FATAL', code: '53300' },
      Connecting,
      LoadOutcome.NotRun,
      true,
    ],
    ['a refused connection', { code: 'ECONNREFUSED' }, Connecting, LoadOutcome.NotRun, true],
    [
      'a lost connection',
      new Error('Connection terminated unexpectedly'),
      Sending,
      LoadOutcome.Unknown,
      true,
    ],
  ])('judges %s', (_what, cause, stage, outcome, isFatal) => {
    expect(classifyFailure(cause, stage)).toMatchObject({ outcome, isFatal });
  });
});
