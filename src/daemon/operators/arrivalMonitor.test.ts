import { beforeEach, expect, test } from 'vitest';
import { ManualTimerService } from '../../common/timer/index.js';
import { ArrivalMonitor } from './arrivalMonitor.js';

let timer: ManualTimerService;
let monitor: ArrivalMonitor;

beforeEach(() => {
  timer = new ManualTimerService();
  monitor = new ArrivalMonitor(timer);
});

test('requests that are read after a pause may have waited as long, and later ones have not', () => {
  // Without the periodic checks, time passes as in a process that is stopped.
  timer.advance(1000);
  expect(monitor.getLongestWaitMs()).toBe(1000);
  timer.advance(300);
  expect(monitor.getLongestWaitMs()).toBe(1000);
  monitor.start();
  timer.advance(200);
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

test('no request has waited in a process that keeps reading', () => {
  monitor.start();
  for (let step = 0; step < 100; step += 1) {
    timer.advance(61);
    expect(monitor.getLongestWaitMs()).toBe(0);
  }
});
