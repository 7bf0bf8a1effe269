import { Writer } from 'pg-protocol/dist/buffer-writer.js';
import type { Fault } from '../../common/diagnostics/index.js';
import { TransactionStatus } from '../requests/index.js';

const TEXT_TYPE_ID = 25;
const VARIABLE_SIZE = -1;
const NO_TYPE_MODIFIER = -1;
const TEXT_FORMAT = 0;

/** Type bytes of the backend messages that the proxy itself creates. */
enum BackendType {
  ParseComplete = 0x31,
  BindComplete = 0x32,
  CloseComplete = 0x33,
  CommandComplete = 0x43,
  DataRow = 0x44,
  Error = 0x45,
  EmptyQuery = 0x49,
  BackendKeyData = 0x4b,
  ParameterStatus = 0x53,
  RowDescription = 0x54,
  ReadyForQuery = 0x5a,
  NoData = 0x6e,
  ParameterDescription = 0x74,
}

/** Severity field of an ErrorResponse. */
export enum Severity {
  Error = 'ERROR',
  /** The connection is closed after the error. */
  Fatal = 'FATAL',
}

/** Encodes a fault as ErrorResponse; its detail field states whether the statement was run. */
export function encodeError(fault: Fault, severity = Severity.Error): Buffer {
  const writer = new Writer();
  const { diagnostic, execution, retryAfterMs } = fault;
  const field = (code: string, value: string): void => {
    writer.addString(code).addCString(value);
  };
  field('S', severity);
  field('V', severity);
  field('C', diagnostic.sqlState ?? 'XX000');
  field('M', fault.message);
  const retry = retryAfterMs === undefined ? '' : `; retry after ${Math.ceil(retryAfterMs)} ms`;
  field('D', `${execution}${retry}`);
  field('R', `FP${diagnostic.code} ${fault.step}`);
  writer.addString('\0');
  return writer.flush(BackendType.Error);
}

/** Encodes a ReadyForQuery message. */
export function encodeReady(status: TransactionStatus): Buffer {
  return READY[status];
}

/** Encodes a ParameterStatus message. */
export function encodeParameter(name: string, value: string): Buffer {
  return new Writer().addCString(name).addCString(value).flush(BackendType.ParameterStatus);
}

/** Encodes a BackendKeyData message: the key with which a caller can cancel its requests. */
export function encodeCancelKey(processId: number, secret: number): Buffer {
  return new Writer().addInt32(processId).addInt32(secret).flush(BackendType.BackendKeyData);
}

/** Encodes a CommandComplete message. */
export function encodeCommandComplete(tag: string): Buffer {
  return new Writer().addCString(tag).flush(BackendType.CommandComplete);
}

/** Encodes a RowDescription of one text column. */
export function encodeTextColumn(name: string): Buffer {
  return new Writer()
    .addInt16(1)
    .addCString(name)
    .addInt32(0)
    .addInt16(0)
    .addInt32(TEXT_TYPE_ID)
    .addInt16(VARIABLE_SIZE)
    .addInt32(NO_TYPE_MODIFIER)
    .addInt16(TEXT_FORMAT)
    .flush(BackendType.RowDescription);
}

/** Encodes a DataRow of one text column. */
export function encodeTextRow(value: string): Buffer {
  const bytes = Buffer.from(value, 'utf8');
  return new Writer().addInt16(1).addInt32(bytes.length).add(bytes).flush(BackendType.DataRow);
}

/** Messages with a constant content. */
export const EMPTY_QUERY = new Writer().flush(BackendType.EmptyQuery);
export const PARSE_COMPLETE = new Writer().flush(BackendType.ParseComplete);
export const BIND_COMPLETE = new Writer().flush(BackendType.BindComplete);
export const CLOSE_COMPLETE = new Writer().flush(BackendType.CloseComplete);
export const NO_DATA = new Writer().flush(BackendType.NoData);
export const NO_PARAMETERS = new Writer().addInt16(0).flush(BackendType.ParameterDescription);

const READY: Readonly<Record<TransactionStatus, Buffer>> = {
  [TransactionStatus.Idle]: createReady(TransactionStatus.Idle),
  [TransactionStatus.Open]: createReady(TransactionStatus.Open),
  [TransactionStatus.Failed]: createReady(TransactionStatus.Failed),
};

function createReady(status: TransactionStatus): Buffer {
  return new Writer().addString(status).flush(BackendType.ReadyForQuery);
}
