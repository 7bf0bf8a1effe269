import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { useCliFixture } from '../../../tests/support/cliFixture.js';
import { createSettingsReference } from '../../common/settings/index.js';
import { ExitStatus } from '../exitStatus.js';

const GOOD = `
host = "a1"
domain = "mekelle"
roles = ["entry"]
mesh = { listen = "127.0.1.1:7400", plain = true }
callers = { listen = "127.0.1.1:5432" }
operators = { listen = "127.0.1.1:7480" }
fleet = { token_key = "0123456789abcdef" }
[[control.members]]
host = "b1"
domain = "wukro"
address = "127.0.2.1:7400"
`;

const cli = useCliFixture();

function write(text: string): string {
  const file = join(cli.folder, 'a1.toml');
  writeFileSync(file, text);
  return file;
}

test('good settings are said to be good', async () => {
  const file = write(GOOD);
  expect(await cli.run(`settings check ${file}`)).toEqual({
    status: ExitStatus.Done,
    output: `${file}: no problem found.\n`,
    errors: '',
  });
});

test('each problem is a line with file, line, key and what was expected', async () => {
  const file = write(GOOD.replace('domain = "mekelle"', 'domian = "mekelle"'));
  const { status, errors } = await cli.run(`settings check ${file}`);
  expect(status).toBe(ExitStatus.BadInput);
  expect(errors.replaceAll(file, 'FILE')).toMatchInlineSnapshot(`
    "FILE: domain: missing; expected a name: Failure domain of this host.
    FILE:3: domian: unknown key; expected domain?
    FP7000: Settings file FILE is not valid: 2 problems (step settings.check; not run)
    "
  `);
  expect(await cli.runJson(`settings check ${file}`)).toMatchObject({
    file,
    problems: [{ key: 'domain' }, { key: 'domian', line: 3 }],
    error: { code: 7000 },
  });
});

test('the reference page is printed', async () => {
  expect((await cli.run('settings reference')).output).toBe(createSettingsReference());
});
