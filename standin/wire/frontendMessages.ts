import { BufferReader } from 'pg-protocol/dist/buffer-reader.js';
import { Diagnostics, sqlFault } from '../sql/index.js';

/** The messages of a client that the stand-in knows. */
export enum FrontendCode {
  Query = 0x51,
  Parse = 0x50,
  Bind = 0x42,
  Describe = 0x44,
  Execute = 0x45,
  Close = 0x43,
  Flush = 0x48,
  Sync = 0x53,
  Terminate = 0x58,
  FunctionCall = 0x46,
  CopyData = 0x64,
  CopyDone = 0x63,
  CopyFail = 0x66,
}

/** Whether a message is about a prepared statement or a portal. */
export type ObjectKind = 'statement' | 'portal';

/** A Parse message. */
export interface ParseMessage {
  readonly name: string;
  readonly text: string;
}

/** A Bind message with its parameters in text format. */
export interface BindMessage {
  readonly portal: string;
  readonly statement: string;
  readonly parameters: readonly (string | undefined)[];
}

/** A Describe or Close message. */
export interface ObjectMessage {
  readonly kind: ObjectKind;
  readonly name: string;
}

/** An Execute message. */
export interface ExecuteMessage {
  readonly portal: string;
  /** The largest number of rows to give; 0 for all. */
  readonly maximumRows: number;
}

const HEADER_BYTES = 5;
const BINARY_FORMAT = 1;
const STATEMENT_CODE = 'S'.charCodeAt(0);

const reader = new BufferReader();

/** Reads a Query message's text. */
export function readQuery(message: Buffer): string {
  return read(message).cstring();
}

/** Reads a Parse message; the types that it gives for parameters are not used. */
export function readParse(message: Buffer): ParseMessage {
  const source = read(message);
  return { name: source.cstring(), text: source.cstring() };
}

/** Reads a Bind message; throws a fault where it asks for the binary format. */
export function readBind(message: Buffer): BindMessage {
  const source = read(message);
  const portal = source.cstring();
  const statement = source.cstring();
  readFormats(source, 'binary parameter format');
  const count = source.int16();
  const parameters: (string | undefined)[] = [];
  for (let index = 0; index < count; index += 1) {
    const length = source.int32();
    parameters.push(length < 0 ? undefined : source.string(length));
  }
  readFormats(source, 'binary result format');
  return { portal, statement, parameters };
}

/** Reads a Describe or Close message. */
export function readObject(message: Buffer): ObjectMessage {
  const source = read(message);
  const kind = source.byte() === STATEMENT_CODE ? 'statement' : 'portal';
  return { kind, name: source.cstring() };
}

/** Reads an Execute message. */
export function readExecute(message: Buffer): ExecuteMessage {
  const source = read(message);
  return { portal: source.cstring(), maximumRows: source.int32() };
}

function read(message: Buffer): BufferReader {
  reader.setBuffer(HEADER_BYTES, message);
  return reader;
}

function readFormats(source: BufferReader, feature: string): void {
  const count = source.int16();
  let isBinary = false;
  for (let index = 0; index < count; index += 1) {
    isBinary ||= source.int16() === BINARY_FORMAT;
  }
  if (isBinary) {
    throw sqlFault(Diagnostics.SqlUnsupported, { feature });
  }
}
