import { expect, test } from 'vitest';
import { Diagnostics } from '../diagnostics/index.js';
import { Logger } from './index.js';

test('an event is one line of key=value pairs with its diagnostic number', () => {
  const lines: string[] = [];
  const logger = new Logger('info', { host: 'a1' }, (line) => lines.push(line));
  logger
    .with({ step: 'x' })
    .report(Diagnostics.KeyRefused, { account: 'mill\n7' }, { peer: '10.0.0.1:5' });
  logger.debug('not shown');
  expect(lines.map((line) => line.replace(/time=\S+ /, ''))).toMatchInlineSnapshot(`
    [
      "level=info host=a1 step=x code=FP2000 message="No valid key for client account \\"mill\\n7\\"." peer=10.0.0.1:5",
    ]
  `);
});
