import { afterEach, describe, expect, it } from 'vitest';
import { toTerm } from '../../src/common/ids/index.js';
import { ManualTimerService, SystemTimerService } from '../../src/common/timer/index.js';
import { TestGroup } from '../../standin/testing/testGroup.js';
import {
  BookingStatement,
  createLoad,
  InsertStatement,
  LoadOutcome,
  PlainStatement,
  ReadOwnStatement,
  WriteOwnStatement,
  type Load,
  type LoadAccount,
  type LoadReport,
  type LoadSettings,
} from './index.js';

let group: TestGroup;

afterEach(async () => group.stop());

const mix = [
  { statement: new InsertStatement(), weight: 4 },
  { statement: new BookingStatement(), weight: 2 },
  { statement: new WriteOwnStatement(), weight: 2 },
  { statement: new ReadOwnStatement(), weight: 4 },
  { statement: new PlainStatement('constant', 'SELECT $1::int', [1]), weight: 1 },
];

function createAccount(change: Partial<LoadAccount> = {}): LoadAccount {
  return { name: 'press', arrival: { kind: 'closed' }, sessions: 3, mix, ...change };
}

function create(change: Partial<LoadSettings> = {}): Load {
  return createLoad({
    targets: [group.get(0).address],
    database: 'd',
    accounts: [createAccount(), createAccount({ name: 'office', sessions: 2 })],
    durationMs: 300,
    drainMs: 2000,
    requestTimeoutMs: 5000,
    seed: 7,
    timer: new SystemTimerService(),
    ...change,
  });
}

function total(report: LoadReport, outcome: LoadOutcome): number {
  return report.accounts.reduce((sum, { outcomes }) => sum + outcomes[outcome], 0);
}

describe('a load', () => {
  it('keeps sessions busy and finds a clean history', async () => {
    group = await new TestGroup().start(1);
    const load = create();
    await load.prepare();
    const report = await load.run();
    expect(load.history.check(group.get(0).records)).toEqual([]);
    expect(load.history.count(LoadOutcome.Acknowledged)).toBeGreaterThan(20);
    for (const { offered, outcomes, latency, violations, statements } of report.accounts) {
      expect(outcomes[LoadOutcome.Acknowledged]).toBe(offered);
      expect(latency.count).toBe(offered);
      expect(violations).toEqual([]);
      expect(Object.keys(statements)).toHaveLength(mix.length);
    }
  });

  it('offers the same requests for the same seed', async () => {
    group = await new TestGroup().start(1);
    const offer = async (seed: number): Promise<number[]> => {
      const timer = new ManualTimerService();
      const accounts = [
        createAccount({ arrival: { kind: 'open', ratePerSecond: 200 } }),
        createAccount({ name: 'office', arrival: { kind: 'open', ratePerSecond: 50 } }),
      ];
      const load = create({ accounts, seed, timer, durationMs: 1000 });
      const running = load.run();
      timer.advance(1000);
      await new Promise((resolve) => setImmediate(resolve));
      timer.advance(60_000);
      return (await running).accounts.map(({ offered }) => offered);
    };
    const first = await offer(11);
    expect(await offer(11)).toEqual(first);
    expect(await offer(12)).not.toEqual(first);
    expect(first.every((offered) => offered > 20)).toBe(true);
  });

  it('counts refused connections as not run', async () => {
    group = await new TestGroup({ connection_limit: 2 }).start(1);
    const load = create({ accounts: [createAccount({ sessions: 4 })] });
    await load.prepare();
    const report = await load.run();
    expect(report.accounts[0]?.codes).toEqual({ '53300': total(report, LoadOutcome.NotRun) });
    expect(total(report, LoadOutcome.NotRun)).toBeGreaterThan(0);
    expect(load.history.check(group.get(0).records)).toEqual([]);
  });

  it('goes on after the server was cut off', async () => {
    group = await new TestGroup({ statement_ms: 2 }).start(1);
    const load = create({ durationMs: 800 });
    await load.prepare();
    const running = load.run();
    await group.until(() => group.get(0).records.length > 20);
    group.get(0).setFaults({ cutOff: true });
    const cut = group.get(0).records.length;
    await new Promise((resolve) => setTimeout(resolve, 100));
    group.get(0).setFaults({ cutOff: false });
    const report = await running;
    expect(total(report, LoadOutcome.Unknown)).toBeGreaterThan(0);
    expect(total(report, LoadOutcome.NotRun)).toBeGreaterThan(0);
    expect(group.get(0).records.length).toBeGreaterThan(cut);
    expect(load.history.check(group.get(0).records)).toEqual([]);
    expect(report.accounts[0]?.longestWriteGapMs).toBeGreaterThan(90);
  });

  it('gives up requests that a silent server never answers', async () => {
    group = await new TestGroup().start(1);
    const load = create({ drainMs: 50 });
    await load.prepare();
    const running = load.run();
    group.get(0).silenceConnections();
    const report = await running;
    expect(total(report, LoadOutcome.Unknown)).toBe(5);
  });

  it('finds acknowledged writes that a promotion lost', async () => {
    group = await new TestGroup().start(2);
    const load = create();
    await load.prepare();
    await group.until(() => group.get(1).position === group.get(0).position);
    group.get(1).setFaults({ replicationStopped: true });
    const report = await load.run();
    await group.get(1).promote(toTerm(2));
    const promises = load.history.check(group.get(1).records).map(({ promise }) => promise);
    expect(promises).toHaveLength(load.history.count(LoadOutcome.Acknowledged));
    expect(new Set(promises)).toEqual(new Set(['acknowledged write lost']));
    expect(total(report, LoadOutcome.Acknowledged)).toBeGreaterThan(promises.length);
  });

  it('finds a session that does not read its own write', async () => {
    group = await new TestGroup().start(2);
    const targets = [group.get(0).address, group.get(1).address];
    const own = [
      { statement: new WriteOwnStatement(), weight: 1 },
      { statement: new ReadOwnStatement(), weight: 1 },
    ];
    const accounts = [createAccount({ sessions: 1, mix: own })];
    const load = create({ targets, accounts, roamAfter: 3 });
    await load.prepare();
    await group.until(() => group.get(1).position === group.get(0).position);
    group.get(1).setFaults({ lagMs: 10_000 });
    const report = await load.run();
    expect(report.accounts[0]?.violations.length).toBeGreaterThan(0);
    expect(report.accounts[0]?.codes['25006']).toBeGreaterThan(0);
  });
});
