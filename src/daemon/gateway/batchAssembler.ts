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
const NO_STATEMENT_NAME = 'fp_none';

/** A prepared statement as the caller knows it. */
interface CallerStatement {
  readonly statement: Statement;
  readonly sql: string;
  readonly prepared: PreparedStatement;
}

/** Gathers a caller's messages into batches and renames its prepared statements. */
export class BatchAssembler {
  private readonly statements = new Map<string, CallerStatement>();
  private readonly portals = new Map<string, Statement>();
  private items: BatchItem[] = [];
  private executed: Statement[] = [];
  private prepared = new Map<string, PreparedStatement>();
  private payload: Buffer[] = [];
  private parsedUnnamed = false;
  private costClass = '';
  private fault: Fault | undefined;
  private bytes = 0;
  /** Bytes of the texts of all prepared statements. */
  private statementBytes = 0;

  constructor(
    private readonly classifier: StatementClassifier,
    private readonly maximumBytes: number,
  ) {}

  /** Takes one message; returns the batch that it completes. */
  take(message: Buffer): CallerBatch | undefined {
    const reader = new MessageReader(message);
    this.count(message.length);
    switch (getFrontendType(message)) {
      case FrontendType.Query:
        return this.takeQuery(message, reader);
      case FrontendType.Sync:
        this.keep(message);
        return this.complete(false);
      case FrontendType.Parse:
        this.takeParse(reader);
        return undefined;
      case FrontendType.Bind:
        this.takeBind(reader);
        return undefined;
      case FrontendType.Describe:
        this.takeDescribe(message, reader);
        return undefined;
      case FrontendType.Execute:
        this.takeExecute(message, reader);
        return undefined;
      case FrontendType.Close:
        this.takeClose(reader);
        return undefined;
      case FrontendType.CopyData:
      case FrontendType.CopyDone:
      case FrontendType.CopyFail:
        // A refused COPY: what the caller had already sent is of no use.
        return undefined;
      case FrontendType.Flush:
        this.refuse('Flush before Sync');
        return undefined;
      case FrontendType.FunctionCall:
        this.refuse('the function call message');
        return this.complete(true);
      default:
        this.refuse(`message type ${message[0] ?? 0}`);
        return undefined;
    }
  }

  /** Forgets portals, which end with their transaction. */
  endTransaction(): void {
    this.portals.clear();
  }

  private takeQuery(message: Buffer, reader: MessageReader): CallerBatch {
    const sql = reader.cstring();
    this.executed.push(this.classifier.classify(sql));
    this.costClass = getCostClass(sql);
    this.keep(message);
    return this.complete(true);
  }

  private takeParse(reader: MessageReader): void {
    const name = reader.cstring();
    const sql = reader.cstring();
    const types = reader.rest;
    const statement = this.classifier.classify(sql);
    this.add(BatchItemKind.Parse, statement);
    this.keep(createParse('', sql, types));
    if (name === '') {
      this.parsedUnnamed = true;
    } else if (this.statements.size >= MAXIMUM_PREPARED_STATEMENTS) {
      this.refuse(`more than ${MAXIMUM_PREPARED_STATEMENTS} prepared statements`);
      return;
    }
    this.forget(name);
    if (this.statementBytes + sql.length > this.maximumBytes) {
      this.refuse(`prepared statements of more than ${this.maximumBytes} bytes in all`);
      return;
    }
    this.statementBytes += sql.length;
    const backendName = name === '' ? '' : createBackendName(sql, types);
    const prepared = { name: backendName, message: createParse(backendName, sql, types) };
    this.statements.set(name, { statement, sql, prepared });
  }

  private takeBind(reader: MessageReader): void {
    const portal = reader.cstring();
    const name = reader.cstring();
    const known = this.use(name);
    const { rest } = reader;
    if (this.portals.size >= MAXIMUM_PORTALS && !this.portals.has(portal)) {
      this.refuse(`more than ${MAXIMUM_PORTALS} portals`);
      return;
    }
    this.portals.set(portal, known?.statement ?? EMPTY_STATEMENT);
    this.add(BatchItemKind.Bind, known?.statement);
    const writer = new Writer(rest.length + 64);
    writer.addCString(portal).addCString(known?.prepared.name ?? name);
    this.keep(writer.add(rest).flush(FrontendType.Bind));
  }

  private takeDescribe(message: Buffer, reader: MessageReader): void {
    const target = String.fromCharCode(reader.byte());
    const name = reader.cstring();
    if (target !== 'S') {
      this.add(BatchItemKind.DescribePortal, this.portals.get(name));
      this.keep(message);
      return;
    }
    const known = this.use(name);
    this.add(BatchItemKind.DescribeStatement, known?.statement);
    const writer = new Writer().addString('S').addCString(known?.prepared.name ?? name);
    this.keep(writer.flush(FrontendType.Describe));
  }

  private takeExecute(message: Buffer, reader: MessageReader): void {
    const statement = this.portals.get(reader.cstring()) ?? EMPTY_STATEMENT;
    this.add(BatchItemKind.Execute, statement);
    if (this.fault === undefined) {
      this.executed.push(statement);
    }
    this.keep(message);
  }

  private takeClose(reader: MessageReader): void {
    const target = String.fromCharCode(reader.byte());
    const name = reader.cstring();
    this.add(BatchItemKind.Close, undefined);
    const writer = new Writer().addString(target);
    if (target === 'S') {
      // The statement stays on backend connections, for other callers that use the same text.
      this.forget(name);
      writer.addCString(NO_STATEMENT_NAME);
    } else {
      this.portals.delete(name);
      writer.addCString(name);
    }
    this.keep(writer.flush(FrontendType.Close));
  }

  private forget(name: string): void {
    this.statementBytes -= this.statements.get(name)?.sql.length ?? 0;
    this.statements.delete(name);
  }

  /** Notes that a prepared statement is needed on the backend connection. */
  private use(name: string): CallerStatement | undefined {
    const known = this.statements.get(name);
    if (known === undefined) {
      return undefined;
    }
    if (name !== '' || !this.parsedUnnamed) {
      if (!this.prepared.has(known.prepared.name)) {
        this.count(known.prepared.message.length);
      }
      this.prepared.set(known.prepared.name, known.prepared);
    }
    this.costClass ||= getCostClass(known.sql);
    return known;
  }

  /** Refuses a batch that grows too large, and drops what was gathered of it. */
  private count(bytes: number): void {
    this.bytes += bytes;
    if (this.bytes > this.maximumBytes) {
      const values = { size: this.bytes, limit: this.maximumBytes };
      this.fault ??= createFault(Diagnostics.MessageTooLarge, values, { step: 'caller.batch' });
    }
  }

  private keep(message: Buffer): void {
    if (this.fault === undefined) {
      this.payload.push(message);
    } else {
      this.payload = [];
      this.items = [];
    }
  }

  private add(kind: BatchItemKind, statement: Statement | undefined): void {
    if (this.fault === undefined) {
      this.items.push({ kind, statement });
    }
  }

  private refuse(feature: string): void {
    const context = { step: 'caller.message' };
    this.fault ??= createFault(Diagnostics.FeatureNotSupported, { feature }, context);
  }

  private complete(isSimple: boolean): CallerBatch {
    const { items, executed, payload, costClass, fault, bytes } = this;
    const prepared = [...this.prepared.values()];
    this.items = [];
    this.executed = [];
    this.prepared = new Map();
    this.payload = [];
    this.parsedUnnamed = false;
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

function getCostClass(sql: string): string {
  return sql.slice(0, COST_CLASS_CHARACTERS);
}
