import fc from 'fast-check';
import { expect, test } from 'vitest';
import { formatLine } from '../common/logging/index.js';
import { explainRequest, formatExplanation } from './explanation.js';
import { parseLogLine } from './logLine.js';

const EDGE = [
  'time=2026-07-07T20:33:06.100Z level=info host=edge-1 code=FP3030 message="A request ended: FP3006." request=r1 group=ledger holder=edge-2 totalMs=801 execution=unknown',
  'time=2026-07-07T20:33:06.200Z level=info host=edge-1 code=FP3030 message="A request ended: ok." request=r2 group=ledger',
  'this is no line of a log',
].join('\n');
const HOLDER = [
  '  7.85 edge-2 time=2026-07-07T20:33:05.400Z level=warn host=edge-2 code=FP3016 message="Instance \\"i-1\\" of group \\"ledger\\" is unreachable." step=monitor',
  'time=2026-07-07T20:33:05.900Z level=info host=edge-2 code=FP3031 message="A request left its holder: FP3006." request=r1 attempt=a-7 group=ledger instance=i-1 position=3.1207',
  'time=2026-07-07T20:33:05.950Z level=info host=edge-2 code=FP3017 message="This daemon now holds group \\"other\\"."',
].join('\n');
const LOGS = [
  { file: 'edge-1.log', text: EDGE },
  { file: 'edge-2.log', text: HOLDER },
];

test('the lines of a request stand in order, with the changes that they were decided on', () => {
  const explanation = explainRequest('r1', LOGS);
  expect(explanation.lines.map(({ fields }) => fields.get('code'))).toEqual([
    'FP3016',
    'FP3031',
    'FP3030',
  ]);
  expect(explanation.unread).toEqual([{ file: 'edge-1.log', number: 3 }]);
  expect(formatExplanation(explanation, 'r1')).toMatchSnapshot();
});

test('an attempt is found by its own id', () => {
  expect(explainRequest('a-7', LOGS).requestLines).toBe(1);
  expect(explainRequest('r9', LOGS).requestLines).toBe(0);
});

test('whatever a log line holds is read back, and no text makes reading throw', () => {
  const name = fc.stringMatching(/^[a-z][A-Za-z]{0,8}$/);
  fc.assert(
    fc.property(fc.dictionary(name, fc.string({ minLength: 1 })), fc.string(), (fields, noise) => {
      const time = '2026-07-07T20:33:06.100Z';
      const parsed = parseLogLine(formatLine({ time, ...fields, request: 'r' }));
      expect(parsed?.fields.get('request')).toBe('r');
      for (const [key, value] of Object.entries(fields)) {
        if (key !== 'time' && key !== 'request') {
          expect(parsed?.fields.get(key)).toBe(value);
        }
      }
      parseLogLine(noise);
      parseLogLine(`time=${noise}`);
    }),
    { seed: 11, numRuns: 500 },
  );
});
