import { Diagnostics, sqlFault } from '../sql/index.js';

const DEFAULTS: ReadonlyMap<string, string> = new Map([
  ['application_name', ''],
  ['client_encoding', 'UTF8'],
  ['client_min_messages', 'notice'],
  ['datestyle', 'ISO, MDY'],
  ['default_transaction_isolation', 'read committed'],
  ['default_transaction_read_only', 'off'],
  ['extra_float_digits', '1'],
  ['idle_in_transaction_session_timeout', '0'],
  ['integer_datetimes', 'on'],
  ['intervalstyle', 'postgres'],
  ['lock_timeout', '0'],
  ['search_path', '"$user", public'],
  ['server_encoding', 'UTF8'],
  ['server_version', '16.0'],
  ['standard_conforming_strings', 'on'],
  ['statement_timeout', '0'],
  ['synchronous_commit', 'on'],
  ['timezone', 'UTC'],
  ['transaction_isolation', 'read committed'],
  ['transaction_read_only', 'off'],
  ['work_mem', '4MB'],
]);

const READ_ONLY = new Set(['integer_datetimes', 'server_encoding', 'server_version']);

/** The settings that clients are told of, under the names that they know. */
const REPORTED: ReadonlyMap<string, string> = new Map([
  ['application_name', 'application_name'],
  ['client_encoding', 'client_encoding'],
  ['datestyle', 'DateStyle'],
  ['integer_datetimes', 'integer_datetimes'],
  ['intervalstyle', 'IntervalStyle'],
  ['server_encoding', 'server_encoding'],
  ['server_version', 'server_version'],
  ['standard_conforming_strings', 'standard_conforming_strings'],
  ['timezone', 'TimeZone'],
]);

/** Tells a client the value of a reported setting. */
export type ReportSetting = (name: string, value: string) => void;

/** The settings of one session: PostgreSQL's ordinary ones and custom ones with a dot. */
export class SessionSettings {
  private values = new Map<string, string>();
  private beforeTransaction: Map<string, string> | undefined;
  private readonly beforeLocal = new Map<string, string | undefined>();

  constructor(
    private readonly initial: ReadonlyMap<string, string>,
    private readonly report: ReportSetting,
  ) {}

  /** The value of a setting; absent where there is no such setting. */
  get(name: string): string | undefined {
    const key = name.toLowerCase();
    return this.values.get(key) ?? this.initial.get(key) ?? DEFAULTS.get(key);
  }

  /** Sets a setting; no value means its default. */
  set(name: string, value: string | undefined, isLocal: boolean): void {
    const key = name.toLowerCase();
    if (READ_ONLY.has(key)) {
      throw sqlFault(Diagnostics.SqlSettingInvalid, { name: key, value: value ?? 'default' });
    }
    if (!DEFAULTS.has(key) && !key.includes('.')) {
      throw sqlFault(Diagnostics.SqlSettingUnknown, { name: key });
    }
    if (isLocal && !this.beforeLocal.has(key)) {
      this.beforeLocal.set(key, this.values.get(key));
    } else if (!isLocal) {
      this.beforeLocal.delete(key);
    }
    this.write(key, value);
  }

  /** Sets all settings, or one, to their defaults. */
  reset(name: string | undefined): void {
    if (name !== undefined) {
      this.set(name, undefined, false);
      return;
    }
    for (const key of [...this.values.keys()]) {
      this.write(key, undefined);
    }
  }

  /** Remembers the settings, for a rollback. */
  beginTransaction(): void {
    this.beforeTransaction = new Map(this.values);
  }

  /** Ends the settings that were local to the transaction and, on a rollback, all of its. */
  endTransaction(isCommitted: boolean): void {
    for (const [key, value] of this.beforeLocal) {
      this.write(key, value);
    }
    this.beforeLocal.clear();
    if (!isCommitted && this.beforeTransaction !== undefined) {
      this.values = this.beforeTransaction;
    }
    this.beforeTransaction = undefined;
  }

  /** Reports every setting that clients are told of. */
  reportAll(): void {
    for (const [key, name] of REPORTED) {
      this.report(name, this.get(key) ?? '');
    }
  }

  private write(key: string, value: string | undefined): void {
    if (value === undefined) {
      this.values.delete(key);
    } else {
      this.values.set(key, value);
    }
    const name = REPORTED.get(key);
    if (name !== undefined) {
      this.report(name, this.get(key) ?? '');
    }
  }
}
