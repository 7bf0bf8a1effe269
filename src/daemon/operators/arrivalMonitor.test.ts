import { beforeEach, expect, test } from 'vitest';
import { ManualTimerService } from '../../common/timer/index.js';
import { ArrivalMonitor } from './arrivalMonitor.js';

let timer: ManualTimerService;
let monitor: ArrivalMonitor;

beforeEach(() => {
  timer = new ManualTimerService();
  monitor = new ArrivalMonitor(timer);
});

// Guards against a request that TCP resends after a pause and that is taken for a new one (EVAC).
test('requests sent in a pause are resent until as long after it, and later ones have not waited', () => {
  // Without the periodic checks, time passes as in a process that is stopped.
  timer.advance(1000);
  expect(monitor.getLongestWaitMs()).toBe(1000);
  monitor.start();
  timer.advance(300);
  expect(monitor.getLongestWaitMs()).toBe(1300);
  timer.advance(899);
  expect(monitor.getLongestWaitMs()).toBe(2199);
  expect(monitor.lastPause).toEqual({ lengthMs: 1000, sinceMs: 1199 });
  timer.advance(1);
  expect(monitor.getLongestWaitMs()).toBe(0);
});

test('requests that arrived in a short pause are read within half a second of it', () => {
  timer.advance(150);
  expect(monitor.getLongestWaitMs()).toBe(150);
  monitor.start();
  timer.advance(349);
  expect(monitor.getLongestWaitMs()).toBe(499);
  timer.advance(1);
  expect(monitor.getLongestWaitMs()).toBe(150);
  timer.advance(150);
  expect(monitor.getLongestWaitMs()).toBe(0);
});

test('a longer pause counts in place of a shorter one, also shortly after it', () => {
  timer.advance(200);
  expect(monitor.getLongestWaitMs()).toBe(200);
  timer.advance(400);
  expect(monitor.getLongestWaitMs()).toBe(400);
});

test('a suspension that the clock does not count makes the wait unknown', () => {
  monitor.start();
  timer.suspensions += 1;
  expect(monitor.getLongestWaitMs()).toBe(Infinity);
  timer.advance(500);
  expect(monitor.getLongestWaitMs()).toBe(0);
});

test('requests of a suspended host may arrive until as long after it as the wall clock says', () => {
  monitor.start();
  timer.suspensions += 1;
  timer.suspendedMs += 2500;
  expect(monitor.getLongestWaitMs()).toBe(Infinity);
  timer.advance(2699);
  expect(monitor.getLongestWaitMs()).toBe(Infinity);
  timer.advance(1);
  expect(monitor.getLongestWaitMs()).toBe(0);
});

test('no request has waited in a process that keeps reading', () => {
  monitor.start();
  for (let step = 0; step < 100; step += 1) {
    timer.advance(61);
    expect(monitor.getLongestWaitMs()).toBe(0);
  }
});
