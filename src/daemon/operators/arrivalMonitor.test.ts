import { beforeEach, expect, test } from 'vitest';
import { ManualTimerService } from '../../common/timer/index.js';
import { ArrivalMonitor } from './arrivalMonitor.js';

let timer: ManualTimerService;
let monitor: ArrivalMonitor;

beforeEach(() => {
  timer = new ManualTimerService();
  monitor = new ArrivalMonitor(timer);
});

test('requests that are read after a pause may be late, and later ones are not', () => {
  // Without the periodic checks, time passes as in a process that is stopped.
  timer.advance(1000);
  expect(monitor.mayBeLate()).toBe(true);
  timer.advance(400);
  expect(monitor.mayBeLate()).toBe(true);
  timer.advance(100);
  expect(monitor.mayBeLate()).toBe(false);
});

test('a suspension that the clock does not count makes requests late', () => {
  monitor.start();
  timer.suspensions += 1;
  expect(monitor.mayBeLate()).toBe(true);
  timer.advance(500);
  expect(monitor.mayBeLate()).toBe(false);
});

test('no request is late in a process that keeps reading', () => {
  monitor.start();
  for (let step = 0; step < 100; step += 1) {
    timer.advance(61);
    expect(monitor.mayBeLate()).toBe(false);
  }
});
