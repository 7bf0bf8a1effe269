import { sqlFault, Diagnostics } from '../sql/sqlFault.js';
import type { SqlValue } from './sqlValue.js';

/** The data types that the stand-in knows. */
export enum ColumnType {
  Integer = 'integer',
  BigInteger = 'bigint',
  Double = 'double precision',
  Numeric = 'numeric',
  Boolean = 'boolean',
  Text = 'text',
  Varchar = 'character varying',
  Timestamp = 'timestamp with time zone',
  Json = 'json',
  Uuid = 'uuid',
  LogPosition = 'pg_lsn',
  Void = 'void',
}

interface TypeFacts {
  readonly oid: number;
  readonly size: number;
  readonly names: readonly string[];
}

const TYPE_FACTS: Readonly<Record<ColumnType, TypeFacts>> = {
  [ColumnType.Integer]: { oid: 23, size: 4, names: ['int', 'int4', 'integer', 'serial', 'int2'] },
  [ColumnType.BigInteger]: { oid: 20, size: 8, names: ['bigint', 'int8', 'bigserial'] },
  [ColumnType.Double]: { oid: 701, size: 8, names: ['double precision', 'float8', 'real'] },
  [ColumnType.Numeric]: { oid: 1700, size: -1, names: ['numeric', 'decimal'] },
  [ColumnType.Boolean]: { oid: 16, size: 1, names: ['boolean', 'bool'] },
  [ColumnType.Text]: { oid: 25, size: -1, names: ['text'] },
  [ColumnType.Varchar]: { oid: 1043, size: -1, names: ['varchar', 'character varying'] },
  [ColumnType.Timestamp]: { oid: 1184, size: 8, names: ['timestamptz', 'timestamp', 'date'] },
  [ColumnType.Json]: { oid: 114, size: -1, names: ['json', 'jsonb'] },
  [ColumnType.Uuid]: { oid: 2950, size: 16, names: ['uuid'] },
  [ColumnType.LogPosition]: { oid: 3220, size: 8, names: ['pg_lsn'] },
  [ColumnType.Void]: { oid: 2278, size: 4, names: ['void'] },
};

const TYPES_BY_NAME = new Map(
  Object.values(ColumnType).flatMap((type) =>
    TYPE_FACTS[type].names.map((name) => [name, type] as const),
  ),
);

const INTEGER_LIMIT = 2_147_483_648;
const TRUE_TEXTS = new Set(['t', 'true', 'y', 'yes', 'on', '1']);
const FALSE_TEXTS = new Set(['f', 'false', 'n', 'no', 'off', '0']);

/** Finds a type by any of its SQL names. */
export function tryGetColumnType(name: string): ColumnType | undefined {
  return TYPES_BY_NAME.get(name.toLowerCase());
}

/** The object id under which clients know a type. */
export function getTypeOid(type: ColumnType): number {
  return TYPE_FACTS[type].oid;
}

/** The size of a type in bytes; -1 where it varies. */
export function getTypeSize(type: ColumnType): number {
  return TYPE_FACTS[type].size;
}

/** Whether values of the type are numbers. */
export function isNumeric(type: ColumnType): boolean {
  return isIntegral(type) || type === ColumnType.Double || type === ColumnType.Numeric;
}

/** Whether values of the type are whole numbers. */
export function isIntegral(type: ColumnType): boolean {
  return type === ColumnType.Integer || type === ColumnType.BigInteger;
}

/** Converts a value to a type; throws a fault where it does not fit. */
export function coerce(value: SqlValue, type: ColumnType): SqlValue {
  if (value === undefined) {
    return undefined;
  }
  if (isNumeric(type)) {
    return coerceNumber(value, type);
  }
  if (type === ColumnType.Boolean) {
    return coerceBoolean(value);
  }
  return typeof value === 'string' ? value : formatValue(value);
}

/** Formats a value other than null in PostgreSQL's text format. */
export function formatValue(value: string | number | boolean): string {
  if (typeof value === 'boolean') {
    return value ? 't' : 'f';
  }
  return String(value);
}

function coerceNumber(value: string | number | boolean, type: ColumnType): number {
  const text = typeof value === 'string' ? value.trim() : value;
  const number = typeof text === 'string' && text === '' ? NaN : Number(text);
  const isWhole = Number.isInteger(number);
  if (Number.isNaN(number) || (typeof value === 'string' && isIntegral(type) && !isWhole)) {
    throw sqlFault(Diagnostics.SqlValueInvalid, { type, text: String(value) });
  }
  if (!isIntegral(type)) {
    return number;
  }
  const rounded = isWhole ? number : Math.round(number);
  const isOutside =
    type === ColumnType.Integer
      ? rounded >= INTEGER_LIMIT || rounded < -INTEGER_LIMIT
      : !Number.isSafeInteger(rounded);
  if (isOutside) {
    throw sqlFault(Diagnostics.SqlValueOutOfRange, { type });
  }
  return rounded;
}

function coerceBoolean(value: string | number | boolean): boolean {
  const text = String(value).toLowerCase();
  if (TRUE_TEXTS.has(text)) {
    return true;
  }
  if (FALSE_TEXTS.has(text)) {
    return false;
  }
  throw sqlFault(Diagnostics.SqlValueInvalid, { type: ColumnType.Boolean, text });
}
