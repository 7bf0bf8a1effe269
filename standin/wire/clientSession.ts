import type { Socket } from 'node:net';
import type { PostgresConnectionOptions } from 'pg-gateway';
import { fromDuplexStream } from 'pg-gateway/node';
import { Fault, type Diagnostic } from '../../src/common/diagnostics/index.js';
import type { TimerService, Unsubscribe } from '../../src/common/timer/index.js';
import type { Engine } from '../instance/engine.js';
import type { Faults } from '../instance/faults.js';
import type { StatementRunner } from '../instance/statementRunner.js';
import { Diagnostics, sqlFault, type Environment } from '../sql/index.js';
import {
  encodeBackendKeyData,
  encodeError,
  encodeParameterStatus,
  encodeWarning,
} from './backendMessages.js';
import { Connection } from './connection.js';
import { FrontendCode } from './frontendMessages.js';
import { OutputBuffer } from './outputBuffer.js';
import { PreparedStatements } from './preparedStatements.js';
import type { ReceivedRecorder } from './receivedRecorder.js';
import { Session } from './session.js';
import { SessionSettings } from './sessionSettings.js';
import { createSocketStreams } from './socketStreams.js';

/** What all client sessions of an instance share. */
export interface ClientSessionParts {
  readonly engine: Engine;
  readonly runner: StatementRunner;
  readonly timer: TimerService;
  readonly faults: Faults;
  readonly received: ReceivedRecorder;
  readonly user: string | undefined;
  readonly password: string | undefined;
  /** The reason to refuse a session now, such as too many connections. */
  readonly tryAdmit: (session: ClientSession) => Diagnostic | undefined;
}

/** Marks a message as dealt with, without anything to write through pg-gateway. */
const HANDLED: Iterable<Uint8Array> = {
  [Symbol.iterator]: () => ({ next: () => ({ done: true, value: true }) }),
};

/** One client's socket from its start-up to its end. */
export class ClientSession {
  private readonly output: OutputBuffer;
  private readonly startParameters = new Map<string, string>();
  private readonly settings: SessionSettings;
  private readonly prepared = new PreparedStatements();
  private readonly session: Session;
  private readonly connection: Connection;
  private isBusy = false;
  private hasEnded = false;
  private isForgotten = false;
  private endGhost: Unsubscribe | undefined;
  private readonly endHandlers: (() => void)[] = [];

  constructor(
    private readonly socket: Socket,
    readonly processId: number,
    readonly secret: number,
    private readonly parts: ClientSessionParts,
  ) {
    this.output = new OutputBuffer(socket);
    this.settings = new SessionSettings(this.startParameters, (name, value) =>
      this.output.add(encodeParameterStatus(name, value)),
    );
    this.session = new Session({
      ...parts,
      settings: this.settings,
      environment: this.createEnvironment(),
      warn: (sqlState, text) => this.output.add(encodeWarning(sqlState, text)),
      deallocate: (name) => this.prepared.deallocate(name),
      terminate: (diagnostic) => this.terminate(diagnostic),
    });
    this.connection = new Connection(this.session, this.prepared, this.output);
    socket.on('close', () => this.endWhenClosed());
  }

  /** Serves the client; the first packet must not have been read. */
  async serve(): Promise<void> {
    await fromDuplexStream(createSocketStreams(this.socket), {
      auth: this.createAuthentication(),
      onStartup: async ({ clientParams }) => this.start(clientParams ?? {}),
      onAuthenticated: () => this.sendParameters(),
      onMessage: (message, { isAuthenticated }) => this.receive(message, isAuthenticated),
    });
  }

  /** Calls a handler when the session has ended and its last statement too. */
  onEnd(handler: () => void): void {
    if (this.hasEnded) {
      handler();
    } else {
      this.endHandlers.push(handler);
    }
  }

  /** Breaks off the running statement, if there is one that waits. */
  cancel(): void {
    this.session.interruption.raise(sqlFault(Diagnostics.SqlCancelled));
  }

  /** From now on neither answers nor takes anything, as after a lost connection track. */
  silence(): void {
    this.output.isSilent = true;
  }

  /** Ends the session of a connection that is closed, also where it is kept as a ghost. */
  forget(): void {
    this.isForgotten = true;
    this.endGhost?.();
    this.endWhenIdle();
  }

  /** Ends the connection after telling the client why. */
  terminate(diagnostic: Diagnostic): void {
    this.end(sqlFault(diagnostic));
  }

  private async start(parameters: Readonly<Record<string, string>>): Promise<void> {
    const refusal = this.parts.tryAdmit(this);
    if (refusal !== undefined) {
      await this.refuse(sqlFault(refusal));
    }
    for (const [name, value] of Object.entries(parameters)) {
      this.startParameters.set(name.toLowerCase(), value);
    }
    const { openingTimeMs } = this.parts.faults;
    if (openingTimeMs > 0) {
      await new Promise<void>((resolve) => {
        this.parts.timer.once(openingTimeMs, () => resolve());
      });
    }
    const { user = '' } = parameters;
    if (this.parts.user !== undefined && this.parts.user !== user) {
      await this.refuse(sqlFault(Diagnostics.UserRefused, { user }));
    }
  }

  /** Ends the start-up; never resolves, so that pg-gateway does not go on with it. */
  private refuse(fault: Fault): Promise<never> {
    this.end(fault);
    return new Promise(() => undefined);
  }

  private end(fault: Fault): void {
    this.output.add(encodeError(fault, 'FATAL'));
    void this.output.flush();
    this.socket.destroySoon();
    if (this.endGhost !== undefined) {
      this.forget();
    }
  }

  private sendParameters(): void {
    this.settings.reportAll();
    this.output.add(encodeBackendKeyData(this.processId, this.secret));
    void this.output.flush();
  }

  private receive(
    message: Uint8Array,
    isAuthenticated: boolean,
  ): Iterable<Uint8Array> | Promise<Iterable<Uint8Array>> | undefined {
    this.parts.received.add(message);
    if (!isAuthenticated) {
      return undefined;
    }
    if (this.output.isSilent) {
      return HANDLED;
    }
    if (message[0] === FrontendCode.Terminate) {
      this.socket.end();
      return HANDLED;
    }
    return this.handle(Buffer.from(message.buffer, message.byteOffset, message.byteLength));
  }

  private async handle(message: Buffer): Promise<Iterable<Uint8Array>> {
    this.isBusy = true;
    this.session.endIdle();
    try {
      await this.connection.handle(message);
    } catch (cause) {
      this.end(cause instanceof Fault ? cause : toInternalFault(cause));
    } finally {
      this.isBusy = false;
    }
    if (this.socket.destroyed) {
      this.endWhenClosed();
    } else {
      this.session.beginIdle();
    }
    return HANDLED;
  }

  /** Ends the session, but for a silent one that the instance does not yet know to be closed. */
  private endWhenClosed(): void {
    const { ghostMs } = this.parts.faults;
    if (this.output.isSilent && ghostMs > 0 && !this.isForgotten) {
      this.endGhost ??= this.parts.timer.once(ghostMs, () => this.forget());
    } else {
      this.endWhenIdle();
    }
  }

  private endWhenIdle(): void {
    if (this.isBusy || this.hasEnded) {
      return;
    }
    this.hasEnded = true;
    this.session.close();
    this.endHandlers.forEach((handler) => handler());
  }

  private createAuthentication(): NonNullable<PostgresConnectionOptions['auth']> {
    const { password } = this.parts;
    return password === undefined
      ? { method: 'trust' }
      : { method: 'password', getClearTextPassword: () => password };
  }

  private createEnvironment(): Environment {
    const { engine } = this.parts;
    const { startParameters, settings, processId } = this;
    return {
      get isReplica() {
        return engine.isReplica;
      },
      get position() {
        return engine.log.position;
      },
      get term() {
        return engine.log.term;
      },
      get lastReplayMs() {
        return engine.lastReplayMs;
      },
      get database() {
        return startParameters.get('database') ?? startParameters.get('user') ?? '';
      },
      get user() {
        return startParameters.get('user') ?? '';
      },
      processId,
      nowMs: () => Date.now(),
      getSetting: (name) => settings.get(name),
      setSetting: (name, value) => settings.set(name, value, false),
    };
  }
}

function toInternalFault(cause: unknown): Fault {
  return sqlFault(Diagnostics.InvariantViolated, { invariant: String(cause) });
}
