import { formatLogPosition } from '../../src/common/logPosition.js';
import { ColumnType, type SqlValue } from '../storage/index.js';
import type { Environment } from './evaluationContext.js';
import { Diagnostics, sqlFault } from './sqlFault.js';

/** A function that statements may call. */
export interface SqlFunction {
  readonly type: ColumnType;
  readonly parameters: readonly ColumnType[];
  /** Whether it only tells the instance's state, so that it takes no slot and no service time. */
  readonly isAboutInstance: boolean;
  readonly call: (args: readonly SqlValue[], environment: Environment) => SqlValue;
}

const LONGEST_TEXT = 268_435_456;
const { Boolean: Bool, Integer, LogPosition, Text, Timestamp } = ColumnType;

/** The functions by name, besides aggregates, `coalesce` and `pg_sleep`. */
export const sqlFunctions: ReadonlyMap<string, SqlFunction> = new Map([
  ['pg_current_wal_lsn', about(LogPosition, currentPosition)],
  ['pg_current_wal_insert_lsn', about(LogPosition, currentPosition)],
  ['pg_last_wal_replay_lsn', about(LogPosition, replayedPosition)],
  ['pg_last_wal_receive_lsn', about(LogPosition, replayedPosition)],
  ['pg_is_in_recovery', about(Bool, ({ isReplica }) => isReplica)],
  ['pg_last_xact_replay_timestamp', about(Timestamp, lastReplayTime)],
  ['filbertpoint_term', about(Integer, ({ term }) => term)],
  ['pg_backend_pid', about(Integer, ({ processId }) => processId)],
  ['current_database', about(Text, ({ database }) => database)],
  ['version', about(Text, () => 'PostgreSQL 16.0 (filbertpoint stand-in)')],
  ['now', about(Timestamp, currentTime)],
  ['clock_timestamp', about(Timestamp, currentTime)],
  ['repeat', ordinary(Text, [Text, Integer], ([text, count]) => repeat(text, count))],
  ['length', ordinary(Integer, [Text], ([text]) => mapText(text, (value) => value.length))],
  ['lower', ordinary(Text, [Text], ([text]) => mapText(text, (value) => value.toLowerCase()))],
  ['upper', ordinary(Text, [Text], ([text]) => mapText(text, (value) => value.toUpperCase()))],
  ['current_setting', about(Text, currentSetting, [Text])],
  ['set_config', about(Text, setConfig, [Text, Text, Bool])],
]);

function about(
  type: ColumnType,
  read: (environment: Environment, args: readonly SqlValue[]) => SqlValue,
  parameters: readonly ColumnType[] = [],
): SqlFunction {
  const call: SqlFunction['call'] = (args, environment) => read(environment, args);
  return { type, parameters, isAboutInstance: true, call };
}

function ordinary(
  type: ColumnType,
  parameters: readonly ColumnType[],
  call: SqlFunction['call'],
): SqlFunction {
  return { type, parameters, isAboutInstance: false, call };
}

function currentPosition({ isReplica, position }: Environment): SqlValue {
  if (isReplica) {
    throw sqlFault(Diagnostics.SqlRecoveryInProgress);
  }
  return formatLogPosition(position);
}

function replayedPosition({ isReplica, position }: Environment): SqlValue {
  return isReplica ? formatLogPosition(position) : undefined;
}

function lastReplayTime({ isReplica, lastReplayMs }: Environment): SqlValue {
  return isReplica && lastReplayMs !== undefined ? formatTime(lastReplayMs) : undefined;
}

function currentTime(environment: Environment): SqlValue {
  return formatTime(environment.nowMs());
}

function formatTime(timeMs: number): string {
  return new Date(timeMs).toISOString().replace('T', ' ').replace('Z', '+00');
}

function mapText(text: SqlValue, map: (text: string) => SqlValue): SqlValue {
  return typeof text === 'string' ? map(text) : undefined;
}

function repeat(text: SqlValue, count: SqlValue): SqlValue {
  if (typeof text !== 'string' || typeof count !== 'number') {
    return undefined;
  }
  if (text.length * count > LONGEST_TEXT) {
    throw sqlFault(Diagnostics.SqlValueOutOfRange, { type: Text });
  }
  return text.repeat(Math.max(0, count));
}

function currentSetting(environment: Environment, [name]: readonly SqlValue[]): SqlValue {
  const value = environment.getSetting(String(name));
  if (value === undefined) {
    throw sqlFault(Diagnostics.SqlSettingUnknown, { name: String(name) });
  }
  return value;
}

function setConfig(environment: Environment, [name, value]: readonly SqlValue[]): SqlValue {
  environment.setSetting(String(name), String(value ?? ''));
  return value;
}
