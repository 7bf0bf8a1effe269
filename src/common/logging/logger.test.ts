import fc from 'fast-check';
import { expect, test } from 'vitest';
import { createFault, Diagnostics, Execution } from '../diagnostics/index.js';
import { ManualTimerService } from '../timer/index.js';
import { formatLine, Logger, MAXIMUM_VALUE_LENGTH, RepeatLimiter } from './index.js';

const SEED = 20261204;
const LINE = /^(?:[a-z]\w*=(?:[^\s"=]+|"(?:[^"\\]|\\.)*")(?: |$))*$/;
const NOT_PRINTING = /[\p{C}\p{Zl}\p{Zp}]/u;

function removeTime(lines: readonly string[]): string[] {
  return lines.map((line) => line.replace(/time=\S+ /, ''));
}

/** Parses a log line as a log collector would. */
function parseLine(line: string): Record<string, string> {
  const fields: Record<string, string> = {};
  for (const match of line.matchAll(/([a-z]\w*)=("(?:[^"\\]|\\.)*"|[^\s"=]+)/g)) {
    const [, key = '', value = ''] = match;
    fields[key] = value.startsWith('"') ? (JSON.parse(value) as string) : value;
  }
  return fields;
}

test('an event is one line of key=value pairs with its diagnostic number', () => {
  const lines: string[] = [];
  const logger = new Logger('info', { host: 'a1' }, (line) => lines.push(line));
  logger
    .with({ step: 'x' })
    .report(Diagnostics.KeyRefused, { account: 'mill\n7' }, { peer: '10.0.0.1:5' });
  logger.debug('not shown');
  expect(removeTime(lines)).toMatchInlineSnapshot(`
    [
      "level=info host=a1 step=x code=FP2000 message="No valid key for client account \\"mill\\n7\\"." peer=10.0.0.1:5",
    ]
  `);
});

test('a fault is logged with its step, peer and execution', () => {
  const lines: string[] = [];
  const logger = new Logger('info', { host: 'a1', domain: 'wukro' }, (line) => lines.push(line));
  const context = { step: 'backend.read', peer: 'ledger-1-a', execution: Execution.Unknown };
  logger.reportFault(createFault(Diagnostics.OutcomeUnknown, {}, context), { request: 'r-9' });
  expect(removeTime(lines)).toMatchInlineSnapshot(`
    [
      "level=error host=a1 domain=wukro code=FP3006 message="The outcome of the statement is unknown." step=backend.read peer=ledger-1-a execution=unknown request=r-9",
    ]
  `);
});

test('no value breaks the format of a line, and each value can be parsed back', () => {
  const value = fc.oneof(
    fc.string({ unit: 'binary', maxLength: 200 }),
    fc.string({
      unit: fc.constantFrom('\n', '\r', '\u2028', '\u0085', '"', '\\', '=', ' ', '\ud800'),
    }),
    fc.integer(),
    fc.boolean(),
  );
  const fields = fc.dictionary(fc.stringMatching(/^[a-z]\w{0,8}$/), value);
  fc.assert(
    fc.property(fields, (pairs) => {
      const line = formatLine(pairs);
      expect(line).toMatch(LINE);
      expect(line).not.toMatch(NOT_PRINTING);
      const texts = Object.entries(pairs).map(([key, each]) => [key, String(each)]);
      expect(parseLine(line)).toEqual(Object.fromEntries(texts));
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});

test('a value above the length limit is truncated', () => {
  const line = formatLine({ message: 'x'.repeat(MAXIMUM_VALUE_LENGTH * 2) });
  expect(line.length).toBe('message='.length + MAXIMUM_VALUE_LENGTH + 1);
});

test('repeated warnings are limited per diagnostic and the suppressed lines are counted', () => {
  const timer = new ManualTimerService();
  const lines: string[] = [];
  const limiter = new RepeatLimiter(timer, 2, 1_000);
  const logger = new Logger('info', {}, (line) => lines.push(line), limiter);
  const child = logger.with({ step: 'monitor' });
  for (let index = 0; index < 5; index += 1) {
    child.report(Diagnostics.EventLoopPaused, { pause: index });
    logger.report(Diagnostics.DaemonStarted, {});
  }
  logger.report(Diagnostics.LeaseExpired, {});
  timer.advance(1_000);
  child.report(Diagnostics.EventLoopPaused, { pause: 5 });
  expect(removeTime(lines)).toMatchInlineSnapshot(`
    [
      "level=warn step=monitor code=FP1004 message="The process was paused for 0 ms."",
      "level=info code=FP1001 message="Daemon started."",
      "level=warn step=monitor code=FP1004 message="The process was paused for 1 ms."",
      "level=info code=FP1001 message="Daemon started."",
      "level=info code=FP1001 message="Daemon started."",
      "level=info code=FP1001 message="Daemon started."",
      "level=info code=FP1001 message="Daemon started."",
      "level=info code=FP3005 message="This daemon holds no lease."",
      "level=warn step=monitor code=FP7100 message="3 more lines of FP1004 were left out."",
      "level=warn step=monitor code=FP1004 message="The process was paused for 5 ms."",
    ]
  `);
});

test('the count of suppressed lines is written even if the warning does not recur', () => {
  const timer = new ManualTimerService();
  const lines: string[] = [];
  const limiter = new RepeatLimiter(timer, 1, 1_000);
  const logger = new Logger('info', {}, (line) => lines.push(line), limiter);
  logger.report(Diagnostics.LeaseExpired, {});
  logger.report(Diagnostics.LeaseExpired, {});
  timer.advance(999);
  logger.report(Diagnostics.DaemonStarted, {});
  expect(lines).toHaveLength(2);
  timer.advance(1);
  logger.report(Diagnostics.DaemonStarted, {});
  expect(lines[2]).toContain('message="1 more lines of FP3005 were left out."');
  expect(lines).toHaveLength(4);
});
