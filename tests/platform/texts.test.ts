import { afterAll, beforeAll, expect, test } from 'vitest';
import { createLinePlan } from '../../bench/lines/linePlan.js';
import { LocalLineFleet } from '../../bench/lines/localLineFleet.js';
import { StatementWatch, type SeenStatement } from '../../standin/lines/index.js';

const DATABASE = 'latest-ledger1';
const KEY = 'key-mill';
/** Texts with characters that end a line or a word elsewhere, but not in this protocol. */
const TEXTS = [
  ...['recut\nQUERY c0ffee PUT invoice 90000', '\n', 'a\n', '\nb', 'a\rb', 'a\r', 'a\n\rb'],
  ...['a\tb', 'a\0b', 'a\x0b\x0c\x1c\x85b', 'a\nDONE x\nREADY I 1.9', 'two  blanks ', '\xc5\xa1'],
];

/** Records each statement that an instance receives from a caller. */
class StatementRecorder extends StatementWatch {
  readonly seen: SeenStatement[] = [];

  override see(statement: SeenStatement): void {
    if (statement.id !== '-') {
      this.seen.push({ ...statement, values: new Map(statement.values) });
    }
  }
}

const recorder = new StatementRecorder();
let fleet: LocalLineFleet;

beforeAll(async () => {
  const plan = await createLinePlan({ controls: 3, entries: 2, groups: 1, network: 96 });
  fleet = new LocalLineFleet(plan);
  await fleet.start({ version: 3, accounts: { mill: [KEY] } });
  fleet.getGroup().watch = recorder;
});

afterAll(async () => {
  await fleet.stop();
});

// Guards against statements whose text is cut or changed on the way, or is run as several (UNASKED).
test('instances run each text as its caller sent it, and nothing else', async () => {
  recorder.seen.length = 0;
  const sent: string[] = [];
  for (const [index, text] of TEXTS.entries()) {
    const client = await fleet.connect(DATABASE, KEY, index % 2);
    for (const statement of [`PUT note${index} ${text}`, `FETCH ${text}`]) {
      const { reply } = await client.query(statement);
      expect([statement, reply?.error]).toEqual([statement, undefined]);
      sent.push(statement);
    }
    client.close();
  }
  const run = recorder.seen.map(({ text }) => text.replace(/^AFTER \S+ /, ''));
  expect(run).toEqual(sent);
});

// Guards against rows that end the connection to the instance or are taken for its next message (MIXED).
test('callers receive each row as the instance sent it', async () => {
  for (const [index, text] of TEXTS.entries()) {
    const client = await fleet.connect(DATABASE, KEY, index % 2);
    await client.query(`PUT row${index} ${text}`);
    const { reply } = await client.query(`FETCH row${index}`);
    expect(reply?.rows).toEqual([text]);
    client.close();
  }
});

test('session values reach the instance as their caller set them', async () => {
  for (const [index, text] of TEXTS.entries()) {
    const client = await fleet.connect(DATABASE, KEY, index % 2);
    await client.query(`SET note ${text}`);
    recorder.seen.length = 0;
    await client.query('FETCH any');
    expect(recorder.seen.map(({ values }) => values.get('note'))).toEqual([text]);
    client.close();
  }
});

// Guards against prepared statements whose shape has blanks: their name on the connection had blanks too.
test('prepared statements of any shape run with the data that their caller sent', async () => {
  const shapes = ['q2c', 'with blank', 'with%20blank', 'a\nb', '%', 's'.repeat(600_000), ...TEXTS];
  for (const [index, shape] of shapes.entries()) {
    const client = await fleet.connect(DATABASE, KEY, index % 2);
    await client.query(`PREPARE own PUT ${shape}`);
    const { reply } = await client.query(`EXECUTE own made${index} ${index} of data`);
    expect([shape.slice(0, 20), reply?.error]).toEqual([shape.slice(0, 20), undefined]);
    const read = await client.query(`FETCH made${index}`);
    expect(read.reply?.rows).toEqual([`${index} of data`]);
    client.close();
  }
});
