import { LoadStatement, LoadViolation, LogTrace, type LoadRequest } from './loadStatement.js';
import { COUNTERS_TABLE, ENTRIES_TABLE } from './writeHistory.js';

/** The table of one row for each session. */
export const SESSIONS_TABLE = 'load_sessions';

/** Statements that create the tables of all statements here. */
export const LOAD_TABLES: readonly string[] = [
  `CREATE TABLE IF NOT EXISTS ${ENTRIES_TABLE} (id text, account text)`,
  `CREATE TABLE IF NOT EXISTS ${COUNTERS_TABLE} (id text PRIMARY KEY, n int)`,
  `CREATE TABLE IF NOT EXISTS ${SESSIONS_TABLE} (id text PRIMARY KEY, n int)`,
];

const INSERT = `INSERT INTO ${ENTRIES_TABLE} (id, account) VALUES ($1, $2)`;
const COUNT = `UPDATE ${COUNTERS_TABLE} SET n = n + 1 WHERE id = $1`;
const WRITE_OWN = `UPDATE ${SESSIONS_TABLE} SET n = $2 WHERE id = $1 AND n < $2`;
const READ_OWN = `SELECT n FROM ${SESSIONS_TABLE} WHERE id = $1`;

/** Inserts a row that the log must show at most once. */
export class InsertStatement extends LoadStatement {
  override readonly name = 'insert';
  override readonly isWrite = true;
  override readonly trace = LogTrace.Entry;

  override async run({ client, id, account, sending }: LoadRequest): Promise<void> {
    sending();
    await client.query(INSERT, [id, account]);
  }
}

/** Inserts a row and adds one to the account's counter, in one transaction. */
export class BookingStatement extends LoadStatement {
  override readonly name = 'booking';
  override readonly isWrite = true;
  override readonly trace = LogTrace.CountedEntry;

  override async run({ client, id, account, sending }: LoadRequest): Promise<void> {
    await client.query('BEGIN');
    await client.query(INSERT, [id, account]);
    await client.query(COUNT, [account]);
    sending();
    const { command } = await client.query('COMMIT');
    if (command !== 'COMMIT') {
      throw new LoadViolation('a transaction without an error was not committed');
    }
  }
}

/** Writes the session's own row. */
export class WriteOwnStatement extends LoadStatement {
  override readonly name = 'write own';
  override readonly isWrite = true;
  override readonly trace = LogTrace.None;

  override async run({ client, session, sending }: LoadRequest): Promise<void> {
    session.tried += 1;
    const value = session.tried;
    sending();
    await client.query(WRITE_OWN, [session.id, value]);
    session.acknowledged = Math.max(session.acknowledged, value);
  }
}

/** Reads the session's own row, which must show its last acknowledged write. */
export class ReadOwnStatement extends LoadStatement {
  override readonly name = 'read own';
  override readonly isWrite = false;
  override readonly trace = LogTrace.None;

  override async run({ client, session, sending }: LoadRequest): Promise<void> {
    const { acknowledged, id } = session;
    sending();
    const { rows } = await client.query<{ n: number }>(READ_OWN, [id]);
    const found = rows[0]?.n ?? -1;
    if (found < acknowledged) {
      throw new LoadViolation(`session ${id} read ${found} after it wrote ${acknowledged}`);
    }
  }
}

/** Runs a fixed text without an effect. */
export class PlainStatement extends LoadStatement {
  override readonly isWrite = false;
  override readonly trace = LogTrace.None;

  constructor(
    override readonly name: string,
    private readonly text: string,
    private readonly values?: readonly unknown[],
  ) {
    super();
  }

  override async run({ client, sending }: LoadRequest): Promise<void> {
    sending();
    await client.query(this.text, this.values === undefined ? undefined : [...this.values]);
  }
}
