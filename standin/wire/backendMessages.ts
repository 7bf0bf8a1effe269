import { Writer } from 'pg-protocol/dist/buffer-writer.js';
import type { Fault } from '../../src/common/diagnostics/index.js';
import {
  formatValue,
  getTypeOid,
  getTypeSize,
  type ColumnType,
  type Row,
} from '../storage/index.js';
import type { ResultColumn } from '../sql/index.js';

enum Code {
  CommandComplete = 0x43,
  DataRow = 0x44,
  ErrorResponse = 0x45,
  BackendKeyData = 0x4b,
  NoticeResponse = 0x4e,
  ParameterStatus = 0x53,
  RowDescription = 0x54,
  ReadyForQuery = 0x5a,
  ParameterDescription = 0x74,
}

const WRITER_BYTES = 512;
const NULL_LENGTH = -1;
const UNSPECIFIED_MODIFIER = -1;
const DEFAULT_SQL_STATE = 'XX000';
const TEXT_OID = 25;

const writer = new Writer(WRITER_BYTES);

/** The transaction status that ReadyForQuery shows. */
export enum TransactionStatus {
  Idle = 'I',
  InTransaction = 'T',
  Failed = 'E',
}

function createBare(code: string): Buffer {
  return writer.flush(code.charCodeAt(0));
}

/** The messages without content that vary with nothing. */
export const plainMessages = {
  parseComplete: createBare('1'),
  bindComplete: createBare('2'),
  closeComplete: createBare('3'),
  noData: createBare('n'),
  emptyQuery: createBare('I'),
  portalSuspended: createBare('s'),
} as const;

const readyMessages: Readonly<Record<TransactionStatus, Buffer>> = {
  [TransactionStatus.Idle]: createReady('I'),
  [TransactionStatus.InTransaction]: createReady('T'),
  [TransactionStatus.Failed]: createReady('E'),
};

/** The ReadyForQuery message of a transaction status. */
export function getReadyForQuery(status: TransactionStatus): Buffer {
  return readyMessages[status];
}

/** Encodes ParameterStatus. */
export function encodeParameterStatus(name: string, value: string): Buffer {
  return writer.addCString(name).addCString(value).flush(Code.ParameterStatus);
}

/** Encodes BackendKeyData. */
export function encodeBackendKeyData(processId: number, secret: number): Buffer {
  return writer.addInt32(processId).addInt32(secret).flush(Code.BackendKeyData);
}

/** Encodes CommandComplete. */
export function encodeCommandComplete(tag: string): Buffer {
  return writer.addCString(tag).flush(Code.CommandComplete);
}

/** Encodes RowDescription with all columns in text format. */
export function encodeRowDescription(columns: readonly ResultColumn[]): Buffer {
  writer.addInt16(columns.length);
  for (const { name, type } of columns) {
    writer
      .addCString(name)
      .addInt32(0)
      .addInt16(0)
      .addInt32(getTypeOid(type))
      .addInt16(getTypeSize(type))
      .addInt32(UNSPECIFIED_MODIFIER)
      .addInt16(0);
  }
  return writer.flush(Code.RowDescription);
}

/** Encodes ParameterDescription; a parameter that nothing gave a type is a text. */
export function encodeParameterDescription(types: readonly (ColumnType | undefined)[]): Buffer {
  writer.addInt16(types.length);
  for (const type of types) {
    writer.addInt32(type === undefined ? TEXT_OID : getTypeOid(type));
  }
  return writer.flush(Code.ParameterDescription);
}

/** Encodes DataRow with all values in text format. */
export function encodeDataRow(row: Row): Buffer {
  writer.addInt16(row.length);
  for (const value of row) {
    if (value === undefined) {
      writer.addInt32(NULL_LENGTH);
    } else {
      writer.addInt32PrefixedString(formatValue(value));
    }
  }
  return writer.flush(Code.DataRow);
}

/** Encodes ErrorResponse. */
export function encodeError(fault: Fault, severity: 'ERROR' | 'FATAL' = 'ERROR'): Buffer {
  return encodeReport(Code.ErrorResponse, severity, getSqlState(fault), fault.message);
}

/** Encodes NoticeResponse with a warning. */
export function encodeWarning(sqlState: string, text: string): Buffer {
  return encodeReport(Code.NoticeResponse, 'WARNING', sqlState, text);
}

/** The SQLSTATE under which a client sees a fault. */
export function getSqlState(fault: Fault): string {
  return fault.diagnostic.sqlState ?? DEFAULT_SQL_STATE;
}

function encodeReport(code: Code, severity: string, sqlState: string, text: string): Buffer {
  const fields = [`S${severity}`, `V${severity}`, `C${sqlState}`, `M${text}`];
  for (const field of fields) {
    writer.addCString(field);
  }
  return writer.addCString('').flush(code);
}

function createReady(status: string): Buffer {
  return writer.addString(status).flush(Code.ReadyForQuery);
}
