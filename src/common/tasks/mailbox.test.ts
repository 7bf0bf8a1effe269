import { expect, test } from 'vitest';
import { Mailbox, Task } from './index.js';

test('a mailbox delivers messages in order until it ends', async () => {
  const mailbox = new Mailbox<number>();
  const seen: number[] = [];
  const ended = mailbox.stream
    .filter((value) => value % 2 === 1)
    .observe((value) => {
      seen.push(value);
    });
  for (const value of [1, 2, 3, 4, 5]) {
    mailbox.post(value);
  }
  mailbox.end();
  await ended;
  expect(seen).toEqual([1, 3, 5]);
});

test('an error in a message handler is reported and the next message is handled', () => {
  const failures: string[] = [];
  const handled: number[] = [];
  class Doubler extends Task<number> {
    protected override handle(message: number): void {
      if (message === 2) {
        throw new Error('two');
      }
      handled.push(message);
    }
  }
  const task = new Doubler((error) => failures.push(error.message));
  task.post(1);
  task.post(2);
  task.post(3);
  expect({ handled, failures }).toEqual({ handled: [1, 3], failures: ['two'] });
});
