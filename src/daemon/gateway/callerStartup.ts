import { Writable, type Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import { createSecureContext, TLSSocket } from 'node:tls';
import {
  PostgresConnection,
  type DuplexStream,
  type PostgresConnectionAdapters,
  type PostgresConnectionOptions,
} from 'pg-gateway';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { toAccountId } from '../../common/ids/index.js';
import { endSocket } from '../../common/sockets/index.js';
import type { TimerService } from '../../common/timer/index.js';
import type { RouteState } from '../../decisions/tickets/index.js';
import type { AuthenticatedCaller } from './authenticatedCaller.js';
import type { CallerAccess } from './callerAccess.js';
import type { CallerTls } from './callerTls.js';
import type { CancelKeys } from './cancelKeys.js';
import { encodeError, Severity } from './responses.js';
import { reclaimSocket } from './reclaimSocket.js';
import { CANCEL_REQUEST_CODE, ENCRYPTION_REQUEST_CODE } from './startupFrame.js';
import { StartupMessages } from './startupMessages.js';

const ENCRYPTION_REFUSED = Buffer.from('N');

/** Dependencies of a caller's start-up. */
export interface StartupContext {
  readonly access: CallerAccess;
  readonly cancelKeys: CancelKeys;
  readonly tls: CallerTls | undefined;
  readonly timer: TimerService;
}

/** Handles one caller's TLS negotiation, start-up and authentication. */
export class CallerStartup {
  private readonly connection: PostgresConnection;
  /** The socket in use: the TLS socket once the caller has requested TLS. */
  private socket: Socket;
  private messages: StartupMessages;
  private ended = false;
  private route: RouteState | undefined;
  private keyId: string | undefined;

  constructor(
    private readonly tcpSocket: Socket,
    private readonly context: StartupContext,
    private readonly onAuthenticated: (caller: AuthenticatedCaller) => void,
    private readonly onRefused: (fault: Fault) => void,
  ) {
    this.socket = tcpSocket;
    this.messages = this.createMessages(tcpSocket);
    const adapters: PostgresConnectionAdapters = { upgradeTls: () => this.upgradeToTls() };
    this.connection = new PostgresConnection(
      toDuplex(tcpSocket, this.messages),
      this.createOptions(),
      adapters,
    );
  }

  /** Sends the caller the reason for its refusal and ends its connection. */
  refuse(fault: Fault): void {
    this.detach(() => {
      endSocket(this.socket, this.context.timer, encodeError(fault, Severity.Fatal));
      this.onRefused(fault);
    });
  }

  private createOptions(): PostgresConnectionOptions {
    const { tls } = this.context;
    const noKey = new ArrayBuffer(0);
    return {
      ...(tls === undefined ? {} : { tls: { key: noKey, cert: noKey } }),
      onMessage: (message, { hasStarted }) =>
        hasStarted ? undefined : this.answerInitial(Buffer.from(message)),
      onStartup: () => this.handleStartup(),
      onAuthenticated: () => this.handleAuthenticated(),
      auth: {
        method: 'scram-sha-256',
        getScramSha256Data: ({ username }) => this.context.access.getScramData(username),
        validateCredentials: async ({ username, ...proof }) => {
          const key = await this.context.access.findProvenKey(username, proof);
          this.keyId = key?.id;
          if (key === undefined) {
            const context = { step: 'caller.start' };
            this.refuse(createFault(Diagnostics.KeyRefused, { account: username }, context));
          }
          return key !== undefined;
        },
      },
    };
  }

  /** Answers requests that replace a StartupMessage; pg-gateway handles the other messages. */
  private answerInitial(message: Buffer): Uint8Array | undefined {
    switch (message.readUInt32BE(4)) {
      case CANCEL_REQUEST_CODE:
        this.context.cancelKeys.cancel(message.readInt32BE(8), message.readInt32BE(12));
        this.tcpSocket.destroy();
        return Buffer.alloc(0);
      case ENCRYPTION_REQUEST_CODE:
        return ENCRYPTION_REFUSED;
      default:
        return undefined;
    }
  }

  private handleStartup(): void {
    const found = this.context.access.tryAdmit(this.getDatabase());
    if (found.isErr()) {
      this.refuse(found.error);
      return;
    }
    this.route = found.value;
    if (found.value.openAs !== undefined) {
      this.connection.options.auth = { method: 'trust' };
    }
  }

  private handleAuthenticated(): void {
    const { route, keyId } = this;
    const account = route?.openAs ?? toAccountId(this.connection.clientParams?.user ?? '');
    if (route === undefined) {
      return;
    }
    const authorized = this.context.access.tryAuthorize(account, keyId, route.route);
    if (authorized.isErr()) {
      this.refuse(authorized.error);
      return;
    }
    const parameters = { ...this.connection.clientParams };
    const caller = { account: account, route, keyId, socket: this.socket, parameters };
    this.detach((received) => this.onAuthenticated({ ...caller, received }));
  }

  /**
   * Detaches pg-gateway, and calls back with the bytes that it did not read. Waits one turn of the
   * event loop for pg-gateway's last writes to reach the socket.
   */
  private detach(callback: (received: Buffer) => void): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    void this.connection.detach();
    setImmediate(() => {
      const received = this.messages.detach();
      reclaimSocket(this.socket);
      callback(received);
    });
  }

  private createMessages(socket: Duplex): StartupMessages {
    return new StartupMessages(socket, (fault) => this.refuse(fault));
  }

  private async upgradeToTls(): Promise<{
    duplex: DuplexStream<Uint8Array>;
    tlsInfo: Record<string, never>;
  }> {
    const { tls } = this.context;
    const plaintext = this.messages.detach();
    reclaimSocket(this.tcpSocket);
    if (plaintext.length > 0) {
      return this.abortEncryption('unencrypted bytes followed the TLS request');
    }
    const secureContext = createSecureContext({ cert: tls?.certificate, key: tls?.key });
    const secure = new TLSSocket(this.tcpSocket, { isServer: true, secureContext });
    this.socket = secure;
    const failure = await new Promise<Error | undefined>((resolve) => {
      secure.once('secure', () => resolve(undefined));
      secure.once('error', resolve);
      secure.once('close', () => resolve(new Error('connection closed by the caller')));
    });
    if (failure !== undefined) {
      return this.abortEncryption(failure.message);
    }
    this.messages = this.createMessages(secure);
    return { duplex: toDuplex(secure, this.messages), tlsInfo: {} };
  }

  /**
   * Ends a connection whose TLS handshake failed. The promise never resolves, so that pg-gateway
   * does not continue the start-up.
   */
  private abortEncryption(reason: string): Promise<never> {
    if (!this.ended) {
      this.ended = true;
      void this.connection.detach();
      this.socket.destroy();
      this.onRefused(createFault(Diagnostics.EncryptionFailed, { reason }, { step: 'caller.tls' }));
    }
    return new Promise(() => undefined);
  }

  private getDatabase(): string {
    const { user, database } = this.connection.clientParams ?? { user: '' };
    return database ?? user;
  }
}

function toDuplex(socket: Duplex, { stream }: StartupMessages): DuplexStream<Uint8Array> {
  return { readable: stream, writable: Writable.toWeb(socket) };
}
