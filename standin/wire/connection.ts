import { Fault } from '../../src/common/diagnostics/index.js';
import { Diagnostics, parseStatements, sqlFault, type StatementResult } from '../sql/index.js';
import type { ResultColumn } from '../sql/index.js';
import {
  encodeCommandComplete,
  encodeDataRow,
  encodeError,
  encodeParameterDescription,
  encodeRowDescription,
  getReadyForQuery,
  plainMessages,
  TransactionStatus,
} from './backendMessages.js';
import {
  FrontendCode,
  readBind,
  readExecute,
  readObject,
  readParse,
  readQuery,
} from './frontendMessages.js';
import type { OutputBuffer } from './outputBuffer.js';
import type { PreparedStatements } from './preparedStatements.js';
import type { Session } from './session.js';

/** Answers the messages of one client after its start-up. */
export class Connection {
  private isSkipping = false;
  private readonly rowDescriptions = new WeakMap<readonly ResultColumn[], Buffer>();

  constructor(
    private readonly session: Session,
    private readonly prepared: PreparedStatements,
    private readonly output: OutputBuffer,
  ) {}

  /** Answers one message; throws a fault where the connection cannot go on. */
  async handle(message: Buffer): Promise<void> {
    const code = message[0];
    switch (code) {
      case FrontendCode.Query:
        return this.handleQuery(readQuery(message));
      case FrontendCode.Sync:
        return this.handleSync();
      case FrontendCode.Flush:
        return this.output.flush();
      case FrontendCode.CopyData:
      case FrontendCode.CopyDone:
      case FrontendCode.CopyFail:
        return;
      default:
        if (!this.isSkipping) {
          await this.handleExtended(code, message);
        }
    }
  }

  private async handleQuery(text: string): Promise<void> {
    this.isSkipping = false;
    try {
      const statements = parseStatements(text);
      if (statements.length === 0) {
        this.output.add(plainMessages.emptyQuery);
      }
      for (const [index, statement] of statements.entries()) {
        const columns = this.session.describe(statement);
        const result = await this.session.run(statement, []);
        if (index === statements.length - 1) {
          this.session.endImplicit();
        }
        if (columns.length > 0 || result.tag.startsWith('SELECT')) {
          this.output.add(this.getRowDescription(columns));
        }
        await this.sendRows(result, 0, result.rows.length);
        this.output.add(encodeCommandComplete(result.tag));
      }
      this.session.endImplicit();
    } catch (cause) {
      this.fail(cause);
    }
    return this.sendReady();
  }

  private async handleExtended(code: number | undefined, message: Buffer): Promise<void> {
    try {
      switch (code) {
        case FrontendCode.Parse:
          this.prepared.parse(readParse(message), (statement) =>
            statement.kind === 'data' ? this.session.compile(statement).facts.parameterTypes : [],
          );
          this.output.add(plainMessages.parseComplete);
          break;
        case FrontendCode.Bind:
          this.prepared.bind(readBind(message));
          this.output.add(plainMessages.bindComplete);
          break;
        case FrontendCode.Describe:
          this.handleDescribe(message);
          break;
        case FrontendCode.Execute:
          await this.handleExecute(message);
          break;
        case FrontendCode.Close:
          this.handleClose(message);
          break;
        case FrontendCode.FunctionCall:
          throw sqlFault(Diagnostics.SqlUnsupported, { feature: 'FunctionCall' });
        default:
          throw protocolViolation(`message type ${code ?? -1}`);
      }
    } catch (cause) {
      this.fail(cause);
      this.isSkipping = true;
    }
  }

  private handleDescribe(message: Buffer): void {
    const { kind, name } = readObject(message);
    const isStatement = kind === 'statement';
    const prepared = isStatement
      ? this.prepared.getStatement(name)
      : this.prepared.getPortal(name).prepared;
    if (isStatement) {
      this.output.add(encodeParameterDescription(prepared.parameterTypes));
    }
    const columns =
      prepared.statement === undefined ? [] : this.session.describe(prepared.statement);
    this.output.add(columns.length > 0 ? this.getRowDescription(columns) : plainMessages.noData);
  }

  private async handleExecute(message: Buffer): Promise<void> {
    const { portal: name, maximumRows } = readExecute(message);
    const portal = this.prepared.getPortal(name);
    const { statement } = portal.prepared;
    if (statement === undefined) {
      this.output.add(plainMessages.emptyQuery);
      return;
    }
    portal.result ??= await this.session.run(statement, portal.parameters);
    const { rows, tag } = portal.result;
    const end = maximumRows > 0 ? Math.min(rows.length, portal.given + maximumRows) : rows.length;
    await this.sendRows(portal.result, portal.given, end);
    portal.given = end;
    const isSuspended = maximumRows > 0 && end < rows.length;
    this.output.add(isSuspended ? plainMessages.portalSuspended : encodeCommandComplete(tag));
  }

  private handleClose(message: Buffer): void {
    const { kind, name } = readObject(message);
    if (kind === 'statement') {
      this.prepared.closeStatement(name);
    } else {
      this.prepared.closePortal(name);
    }
    this.output.add(plainMessages.closeComplete);
  }

  private handleSync(): Promise<void> | undefined {
    this.isSkipping = false;
    try {
      this.session.endImplicit();
    } catch (cause) {
      this.fail(cause);
    }
    if (this.session.status === TransactionStatus.Idle) {
      this.prepared.closePortals();
    }
    return this.sendReady();
  }

  private async sendRows(result: StatementResult, from: number, to: number): Promise<void> {
    for (let index = from; index < to; index += 1) {
      this.output.add(encodeDataRow(result.rows[index] ?? []));
      if (this.output.isFull) {
        await this.output.flush();
      }
    }
  }

  private sendReady(): Promise<void> | undefined {
    this.output.add(getReadyForQuery(this.session.status));
    return this.output.flush();
  }

  private fail(cause: unknown): void {
    const fault = toFault(cause);
    this.session.fail();
    this.output.add(encodeError(fault));
  }

  private getRowDescription(columns: readonly ResultColumn[]): Buffer {
    const known = this.rowDescriptions.get(columns);
    if (known !== undefined) {
      return known;
    }
    const message = encodeRowDescription(columns);
    this.rowDescriptions.set(columns, message);
    return message;
  }
}

/** The fault to show to a client; anything unexpected becomes a protocol violation. */
function toFault(cause: unknown): Fault {
  if (cause instanceof Fault) {
    return cause;
  }
  if (cause instanceof RangeError) {
    return protocolViolation(cause.message);
  }
  throw cause;
}

function protocolViolation(reason: string): Fault {
  return sqlFault(Diagnostics.ProtocolViolation, { reason });
}
