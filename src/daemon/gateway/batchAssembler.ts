import { createHash } from 'node:crypto';
import { Writer } from 'pg-protocol/dist/buffer-writer.js';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import {
  StatementKind,
  type Statement,
  type StatementClassifier,
} from '../../decisions/routing/index.js';
import type { PreparedStatement } from '../requests/index.js';
import { BatchItemKind, type BatchItem } from './batchItem.js';
import type { CallerBatch } from './callerBatch.js';
import { FrontendType, getFrontendType } from './frontendType.js';
import { MessageReader } from './messageReader.js';

const COST_CLASS_CHARACTERS = 48;
const MAXIMUM_PREPARED_STATEMENTS = 1000;
const MAXIMUM_PORTALS = 1000;
const NONEXISTENT_STATEMENT_NAME = 'fp_none';

/** A prepared statement under the name that the caller gave it. */
interface ParsedStatement {
  readonly statement: Statement;
  readonly sql: string;
  readonly prepared: PreparedStatement;
}

/**
 * Assembles a caller's messages into batches. Renames prepared statements by a hash of their text
 * and parameter types, so that callers can share backend connections.
 */
export class BatchAssembler {
  private readonly statements = new Map<string, ParsedStatement>();
  private readonly portals = new Map<string, Statement>();
  private items: BatchItem[] = [];
  private executed: Statement[] = [];
  private prepared = new Map<string, PreparedStatement>();
  private payload: Buffer[] = [];
  private hasParsedUnnamedStatement = false;
  private costClass = '';
  private fault: Fault | undefined;
  private bytes = 0;
  /** Total length of the texts of all prepared statements, compared with `maximumBytes`. */
  private statementBytes = 0;

  constructor(
    private readonly classifier: StatementClassifier,
    private readonly maximumBytes: number,
  ) {}

  /** Bytes of the messages of the batch that is not complete. */
  get heldBytes(): number {
    return this.bytes;
  }

  /** Adds one message; returns the batch if the message completes one. */
  addMessage(message: Buffer): CallerBatch | undefined {
    const reader = new MessageReader(message);
    this.countBytes(message.length);
    switch (getFrontendType(message)) {
      case FrontendType.Query:
        return this.addQuery(message, reader);
      case FrontendType.Sync:
        this.appendPayload(message);
        return this.completeBatch(false);
      case FrontendType.Parse:
        this.addParse(reader);
        return undefined;
      case FrontendType.Bind:
        this.addBind(reader);
        return undefined;
      case FrontendType.Describe:
        this.addDescribe(message, reader);
        return undefined;
      case FrontendType.Execute:
        this.addExecute(message, reader);
        return undefined;
      case FrontendType.Close:
        this.addClose(reader);
        return undefined;
      case FrontendType.CopyData:
      case FrontendType.CopyDone:
      case FrontendType.CopyFail:
        // COPY is refused; data that the caller sent before it received the refusal is discarded.
        return undefined;
      case FrontendType.Flush:
        this.refuseFeature('Flush before Sync');
        return undefined;
      case FrontendType.FunctionCall:
        this.refuseFeature('the function call message');
        return this.completeBatch(true);
      default:
        this.refuseFeature(`message type ${message[0] ?? 0}`);
        return undefined;
    }
  }

  /** Removes all portals, since a portal is valid only within its transaction. */
  endTransaction(): void {
    this.portals.clear();
  }

  private addQuery(message: Buffer, reader: MessageReader): CallerBatch {
    const sql = reader.readCString();
    this.executed.push(this.classifier.classify(sql));
    this.costClass = getCostClass(sql);
    this.appendPayload(message);
    return this.completeBatch(true);
  }

  private addParse(reader: MessageReader): void {
    const name = reader.readCString();
    const sql = reader.readCString();
    const types = reader.rest;
    const statement = this.classifier.classify(sql);
    this.addItem(BatchItemKind.Parse, statement);
    this.appendPayload(createParse('', sql, types));
    if (name === '') {
      this.hasParsedUnnamedStatement = true;
    } else if (this.statements.size >= MAXIMUM_PREPARED_STATEMENTS) {
      this.refuseFeature(`more than ${MAXIMUM_PREPARED_STATEMENTS} prepared statements`);
      return;
    }
    this.removeStatement(name);
    if (this.statementBytes + sql.length > this.maximumBytes) {
      this.refuseFeature(`prepared statements of more than ${this.maximumBytes} bytes in all`);
      return;
    }
    this.statementBytes += sql.length;
    const backendName = name === '' ? '' : createBackendName(sql, types);
    const prepared = { name: backendName, message: createParse(backendName, sql, types) };
    this.statements.set(name, { statement, sql, prepared });
  }

  private addBind(reader: MessageReader): void {
    const portal = reader.readCString();
    const name = reader.readCString();
    const parsed = this.requireStatement(name);
    const { rest } = reader;
    if (this.portals.size >= MAXIMUM_PORTALS && !this.portals.has(portal)) {
      this.refuseFeature(`more than ${MAXIMUM_PORTALS} portals`);
      return;
    }
    this.portals.set(portal, parsed?.statement ?? EMPTY_STATEMENT);
    this.addItem(BatchItemKind.Bind, parsed?.statement);
    const writer = new Writer(rest.length + 64);
    writer.addCString(portal).addCString(parsed?.prepared.name ?? name);
    this.appendPayload(writer.add(rest).flush(FrontendType.Bind));
  }

  private addDescribe(message: Buffer, reader: MessageReader): void {
    const target = String.fromCharCode(reader.readByte());
    const name = reader.readCString();
    if (target !== 'S') {
      this.addItem(BatchItemKind.DescribePortal, this.portals.get(name));
      this.appendPayload(message);
      return;
    }
    const parsed = this.requireStatement(name);
    this.addItem(BatchItemKind.DescribeStatement, parsed?.statement);
    const writer = new Writer().addString('S').addCString(parsed?.prepared.name ?? name);
    this.appendPayload(writer.flush(FrontendType.Describe));
  }

  private addExecute(message: Buffer, reader: MessageReader): void {
    const statement = this.portals.get(reader.readCString()) ?? EMPTY_STATEMENT;
    this.addItem(BatchItemKind.Execute, statement);
    if (this.fault === undefined) {
      this.executed.push(statement);
    }
    this.appendPayload(message);
  }

  private addClose(reader: MessageReader): void {
    const target = String.fromCharCode(reader.readByte());
    const name = reader.readCString();
    this.addItem(BatchItemKind.Close, undefined);
    const writer = new Writer().addString(target);
    if (target === 'S') {
      // The statement stays prepared on backend connections, for other callers with the same text.
      this.removeStatement(name);
      writer.addCString(NONEXISTENT_STATEMENT_NAME);
    } else {
      this.portals.delete(name);
      writer.addCString(name);
    }
    this.appendPayload(writer.flush(FrontendType.Close));
  }

  private removeStatement(name: string): void {
    this.statementBytes -= this.statements.get(name)?.sql.length ?? 0;
    this.statements.delete(name);
  }

  /** Records that the batch needs a prepared statement on its backend connection. */
  private requireStatement(name: string): ParsedStatement | undefined {
    const parsed = this.statements.get(name);
    if (parsed === undefined) {
      return undefined;
    }
    if (name !== '' || !this.hasParsedUnnamedStatement) {
      if (!this.prepared.has(parsed.prepared.name)) {
        this.countBytes(parsed.prepared.message.length);
      }
      this.prepared.set(parsed.prepared.name, parsed.prepared);
    }
    this.costClass ||= getCostClass(parsed.sql);
    return parsed;
  }

  /**
   * Adds to the size of the batch, and refuses the batch once it exceeds the limit; `appendPayload`
   * then discards its payload and items.
   */
  private countBytes(bytes: number): void {
    this.bytes += bytes;
    if (this.bytes > this.maximumBytes) {
      const values = { size: this.bytes, limit: this.maximumBytes };
      this.fault ??= createFault(Diagnostics.MessageTooLarge, values, { step: 'caller.batch' });
    }
  }

  private appendPayload(message: Buffer): void {
    if (this.fault === undefined) {
      this.payload.push(message);
    } else {
      this.payload = [];
      this.items = [];
    }
  }

  private addItem(kind: BatchItemKind, statement: Statement | undefined): void {
    if (this.fault === undefined) {
      this.items.push({ kind, statement });
    }
  }

  private refuseFeature(feature: string): void {
    const context = { step: 'caller.message' };
    this.fault ??= createFault(Diagnostics.FeatureNotSupported, { feature }, context);
  }

  private completeBatch(isSimple: boolean): CallerBatch {
    const { items, executed, payload, costClass, fault, bytes } = this;
    const prepared = [...this.prepared.values()];
    this.items = [];
    this.executed = [];
    this.prepared = new Map();
    this.payload = [];
    this.hasParsedUnnamedStatement = false;
    this.costClass = '';
    this.fault = undefined;
    this.bytes = 0;
    return { isSimple, items, executed, prepared, payload, costClass, fault, bytes };
  }
}

const EMPTY_STATEMENT: Statement = {
  kind: StatementKind.Empty,
  unclassified: false,
  controlsTransaction: false,
};

function createParse(name: string, sql: string, types: Buffer): Buffer {
  const writer = new Writer(sql.length + 64).addCString(name).addCString(sql);
  return writer.add(types).flush(FrontendType.Parse);
}

function createBackendName(sql: string, types: Buffer): string {
  const hash = createHash('sha256').update(sql).update('\0').update(types);
  return `fp_${hash.digest('base64url').slice(0, 22)}`;
}

/** The start of a text, as a copy: a slice would keep the whole text in memory. */
function getCostClass(sql: string): string {
  return Buffer.from(sql.slice(0, COST_CLASS_CHARACTERS), 'utf16le').toString('utf16le');
}
