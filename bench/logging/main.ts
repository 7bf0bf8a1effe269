import { openSync } from 'node:fs';
import { Diagnostics } from '../../src/common/diagnostics/index.js';
import {
  BoundedWriter,
  createDescriptorSink,
  formatLine,
  Logger,
  RequestLog,
} from '../../src/common/logging/index.js';
import { ManualTimerService, SystemTimerService } from '../../src/common/timer/index.js';

const REQUESTS = 400_000;
const LINES = 20_000;

/** What a holder writes of a request, with values of ordinary length. */
const FIELDS = {
  ...{ request: '8a13005d16b85232', attempt: 'Q2J9RqFGHdL5-57', account: 'mill', group: 'ledger' },
  ...{
    kind: 'read',
    instance: 'i-9907fad8c9',
    onReplica: true,
    declines: 0,
    moves: 0,
    status: 'I',
  },
  ...{ primary: 'i-41c8856d4a', phase: 'serving', term: 3, minimum: '3.1207', position: '3.1209' },
  ...{ positionAgeMs: 12, load: 3, waitMs: 61, serviceMs: 14 },
};

let bytes = 0;
const writer = new BoundedWriter(createDescriptorSink(openSync('/dev/null', 'w')), (count) =>
  formatLine({ message: `${count} lines were left out.` }),
);
const logger = new Logger('info', { host: 'edge-1', domain: 'a', role: 'entry' }, (line) => {
  bytes += line.length + 1;
  writer.write(line);
});

function measure(name: string, count: number, work: (index: number) => void): void {
  for (let index = 0; index < count / 10; index += 1) {
    work(index);
  }
  bytes = 0;
  const before = process.cpuUsage();
  for (let index = 0; index < count; index += 1) {
    work(index);
  }
  const { user, system } = process.cpuUsage(before);
  const each = ((user + system) / count).toFixed(3);
  process.stdout.write(`${name}: ${each} us and ${(bytes / count).toFixed(1)} bytes each\n`);
}

function createNote(isNotable: boolean): (index: number) => void {
  const log = new RequestLog(logger, new SystemTimerService());
  return () => {
    log.record(Diagnostics.RequestHeld, { outcome: 'ok' }, isNotable, () => FIELDS);
  };
}

/** Each line in an interval of its own, so that none is left out. */
function createLine(): () => void {
  const timer = new ManualTimerService();
  const log = new RequestLog(logger, timer);
  return () => {
    timer.advance(1000);
    log.record(Diagnostics.RequestHeld, { outcome: 'FP4000' }, true, () => FIELDS);
  };
}

measure('a request that ends as wished, one in 500 written', REQUESTS, createNote(false));
measure('a request in a storm of refusals, 20 a second written', REQUESTS, createNote(true));
measure('a line that is written', LINES, createLine());
process.exit(0);
