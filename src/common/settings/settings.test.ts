import { chmodSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, test } from 'vitest';
import {
  createSettingsReference,
  findSettingsProblems,
  formatSettingsProblem,
  SETTINGS_RULES,
  settingsSchema,
  tryCheckSettings,
  tryParseSettings,
} from './index.js';

const VALID_SETTINGS = `
host = "a1"
domain = "mekelle"
roles = ["entry", "control"]
data_folder = "data"

[mesh]
listen = "10.0.1.1:7400"
plain = true

[[control.members]]
host = "a1"
domain = "mekelle"
address = "10.0.1.1:7400"
[[control.members]]
host = "b1"
domain = "adigrat"
address = "[fd00::2]:7400"

[callers]
listen = "0.0.0.0:5432"

[operators]
listen = "127.0.0.1:7480"

[fleet]
token_key = "0123456789abcdef"
`;

let folder: string;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'filbertpoint-settings-'));
});

afterEach(() => rmSync(folder, { recursive: true }));

function getProblems(text: string): readonly string[] {
  const checked = tryCheckSettings(text, settingsSchema, SETTINGS_RULES);
  return checked.match(
    () => [],
    (problems) => problems.map((problem) => formatSettingsProblem('a1.toml', problem)),
  );
}

function checkFile(text: string): readonly string[] {
  const file = join(folder, 'a1.toml');
  writeFileSync(file, text);
  return findSettingsProblems(file).map((problem) =>
    formatSettingsProblem('a1.toml', problem).replaceAll(folder, 'FOLDER'),
  );
}

test('good settings are read with their defaults', () => {
  expect(tryParseSettings('a1.toml', VALID_SETTINGS)._unsafeUnwrap()).toMatchSnapshot();
});

test('all problems are reported together with file, line, key and expected value', () => {
  const text = VALID_SETTINGS.replace('host = "a1"\ndomain', 'hots = "a1"\ndomain')
    .replace('"entry", "control"', '"entry", "controller"')
    .replace('"[fd00::2]:7400"', '"adigrat-1:7400"')
    .replace('listen = "127.0.0.1:7480"', 'listen = 7480\nport = 1\ntoken_fil = "x"')
    .replace('"0123456789abcdef"', '"short"');
  expect(getProblems(text)).toMatchInlineSnapshot(`
    [
      "a1.toml: host: missing; expected a name: Id of this host; unique in the fleet.",
      "a1.toml:2: hots: unknown key; expected host?",
      "a1.toml:4: roles.1: expected "entry" or "control"",
      "a1.toml:18: control.members.1.address: expected IP:PORT with an IP number, such as 10.0.1.1:7400",
      "a1.toml:24: operators.listen: expected a string",
      "a1.toml:25: operators.port: unknown key; expected one of listen, token_file, announcer_token_file",
      "a1.toml:26: operators.token_fil: unknown key; expected token_file?",
      "a1.toml:29: fleet.token_key: expected at least 16 characters",
    ]
  `);
});

test('an unknown key is refused, such as one to found a quorum, which is a start option', () => {
  const text = VALID_SETTINGS.replace(
    '[[control.members]]',
    '[control]\nbootstrap = true\n[[control.members]]',
  );
  expect(getProblems(text)).toEqual([
    'a1.toml:12: control.bootstrap: unknown key; expected one of members, member, admits_members, losses',
  ]);
});

test('one fault lists all problems on one line', () => {
  const fault = tryParseSettings('a1.toml', 'host = 1\nroles = []')._unsafeUnwrapErr();
  expect(fault.message).toMatchInlineSnapshot(
    `"Settings file a1.toml is not valid: domain: missing; expected a name: Failure domain of this host.; mesh: missing; expected a table: Connections between daemons.; control: missing; expected a table: The control quorum.; operators: missing; expected a table: HTTP interface.; fleet: missing; expected a table: Secrets that all hosts share.; mesh.tls: needed unless mesh.plain is true; fleet: one of token_key_file and token_key is needed; line 1: host: expected a string; line 2: roles: expected at least 1 element"`,
  );
});

test('a syntax error is reported with its line and without a quote from the file', () => {
  const text = 'host = "a1"\n[fleet]\ntoken_key = "0123456789abcdef\n';
  expect(getProblems(text)).toMatchInlineSnapshot(`
    [
      "a1.toml:3: Invalid TOML document: control characters are not allowed in strings",
    ]
  `);
});

test.each([
  ['role control without a data folder', 'data_folder = "data"\n', ''],
  ['role entry without callers', '[callers]\nlisten = "0.0.0.0:5432"\n', ''],
  ['a mesh neither plain nor with TLS', 'plain = true', 'plain = false'],
  [
    'TLS on the mesh without an authority',
    'plain = true',
    'tls = { certificate = "a.pem", key = "a.key" }',
  ],
  ['a member host twice', 'host = "b1"', 'host = "a1"'],
  ['a member address twice', '"[fd00::2]:7400"', '"10.0.1.1:7400"'],
  ['an HTTP interface for all without tokens', '127.0.0.1:7480', '10.0.1.1:7480'],
  ['no token key', 'token_key = "0123456789abcdef"', ''],
  [
    'two token keys',
    'token_key = "0123456789abcdef"',
    'token_key = "0123456789abcdef"\ntoken_key_file = "k"',
  ],
])('a rule between keys is kept: %s', (_case, part, replacement) => {
  expect(VALID_SETTINGS).toContain(part);
  expect(getProblems(VALID_SETTINGS)).toEqual([]);
  const problems = getProblems(VALID_SETTINGS.replace(part, replacement));
  expect(problems).toMatchSnapshot();
  expect(problems.length).toBeGreaterThan(0);
});

test('files named by settings must be readable and the data folder writable', () => {
  writeFileSync(join(folder, 'authority.pem'), 'x');
  writeFileSync(join(folder, 'plain-file'), 'x');
  mkdirSync(join(folder, 'certificate.pem'));
  const tls = `tls = { certificate = "${folder}/certificate.pem", key = "${folder}/absent.key", authority = "${folder}/authority.pem" }`;
  const text = VALID_SETTINGS.replace('plain = true', tls).replace(
    '"data"',
    `"${folder}/plain-file"`,
  );
  expect(checkFile(text)).toMatchInlineSnapshot(`
    [
      "a1.toml:5: data_folder: expected a writable folder at FOLDER/plain-file",
      "a1.toml:9: mesh.tls.certificate: expected a readable file at FOLDER/certificate.pem",
      "a1.toml:9: mesh.tls.key: expected a readable file at FOLDER/absent.key",
    ]
  `);
  const good = VALID_SETTINGS.replace('"data"', `"${folder}/new/data"`);
  expect(checkFile(good)).toEqual([]);
  mkdirSync(join(folder, 'new'));
  chmodSync(join(folder, 'new'), 0o700);
  expect(checkFile(good)).toEqual([]);
});

test('a settings file that is missing or too large is reported as one problem', () => {
  const [problem] = findSettingsProblems(join(folder, 'absent.toml'));
  expect(problem?.expected).toContain("can't be read: ENOENT");
  expect(checkFile(`# ${'x'.repeat(1_100_000)}`)).toEqual([
    'a1.toml: expected at most 1048576 bytes',
  ]);
});

test('docs/SETTINGS.md is current; `npm run docs:settings` regenerates it', () => {
  const page = readFileSync(new URL('../../../docs/SETTINGS.md', import.meta.url), 'utf8');
  expect(page).toBe(createSettingsReference());
});
