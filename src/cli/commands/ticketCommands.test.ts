import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { useCliFixture } from '../../../tests/support/cliFixture.js';
import { ExitStatus } from '../exitStatus.js';

const TOML_TICKET = `
number = 9
[[subjects]]
kind = "failure-domain"
domain = "adigrat"
inService = false
`;

const cli = useCliFixture();

// Guards against a ticket that is submitted with other texts than its file has.
test('a ticket file that is not valid UTF-8 is not submitted', async () => {
  const file = join(cli.folder, 'damaged.toml');
  writeFileSync(file, Buffer.from(TOML_TICKET.replace('adigrat', 'adigr\u00e9t'), 'latin1'));
  const { status, errors } = await cli.run(`ticket submit ${file}`);
  expect([status, errors]).toEqual([
    ExitStatus.BadInput,
    expect.stringContaining('not valid UTF-8') as unknown,
  ]);
  expect(cli.control.submitted).toEqual([]);
});

test('a ticket in TOML or JSON is submitted, resent, shown and in force', async () => {
  expect(await cli.run('ticket submit -', TOML_TICKET)).toEqual({
    status: ExitStatus.Done,
    output: 'Ticket 9 is accepted.\n',
    errors: '',
  });
  const file = join(cli.folder, 'ticket.json');
  writeFileSync(file, JSON.stringify(cli.control.submitted[0]));
  expect((await cli.run(`ticket submit ${file}`)).status).toBe(ExitStatus.Done);
  expect(await cli.runJson('ticket show 9')).toEqual(cli.control.submitted[0]);
  expect((await cli.run('ticket in-force')).output).toMatchInlineSnapshot(`
    "SUBJECT                 TICKET  EVERYWHERE  MISSING ON
    account/mill-7          8       yes         -
    failure-domain/adigrat  9       yes         -
    "
  `);
  expect((await cli.run('ticket in-force failure-domain/adigrat')).output).toMatchInlineSnapshot(`
    "SUBJECT                 TICKET  EVERYWHERE  MISSING ON
    failure-domain/adigrat  9       yes         -

    {
      "kind": "failure-domain",
      "domain": "adigrat",
      "inService": false
    }
    "
  `);
});

test('a ticket without a number takes the next after the highest in force', async () => {
  const text = TOML_TICKET.replace('number = 9', '');
  expect((await cli.run('ticket submit -', text)).output).toBe('Ticket 9 is accepted.\n');
  expect((await cli.run('ticket submit - --number 30', text)).output).toBe(
    'Ticket 30 is accepted.\n',
  );
});

test('a refused ticket ends with status 1 and says why', async () => {
  const refused = await cli.run('ticket submit -', TOML_TICKET.replace('9', '8'));
  expect({ ...refused, errors: refused.errors.replace(cli.url, 'URL') }).toMatchInlineSnapshot(`
    {
      "errors": "FP6002: Ticket number 8 belongs to an accepted ticket with other content on account/mill-7. (step ticket.submit, peer URL; not run)
    ",
      "output": "",
      "status": 1,
    }
  `);
  const json = await cli.run('ticket submit - --json', TOML_TICKET.replace('9', '8'));
  expect(json.status).toBe(ExitStatus.Refused);
  expect(JSON.parse(json.output)).toMatchObject({ error: { code: 6002, detail: 'not run' } });
});
