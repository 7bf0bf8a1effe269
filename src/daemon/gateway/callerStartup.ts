import { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import { createSecureContext, TLSSocket } from 'node:tls';
import {
  PostgresConnection,
  type DuplexStream,
  type PostgresConnectionAdapters,
  type PostgresConnectionOptions,
} from 'pg-gateway';
import type { Fault } from '../../common/diagnostics/index.js';
import { toAccountId } from '../../common/ids/index.js';
import type { RouteState } from '../../decisions/tickets/index.js';
import type { AuthenticatedCaller } from './authenticatedCaller.js';
import type { CallerAccess } from './callerAccess.js';
import type { CallerTls } from './callerTls.js';
import type { CancelKeys } from './cancelKeys.js';
import { encodeError, Severity } from './responses.js';
import { takeSocketOver } from './socketTakeover.js';

const INITIAL_HEADER_BYTES = 8;
const CANCEL_REQUEST_CODE = 80877102;
const ENCRYPTION_REQUEST_CODE = 80877104;
const ENCRYPTION_REFUSED = Buffer.from('N');

/** What the start of callers needs. */
export interface StartupContext {
  readonly access: CallerAccess;
  readonly cancelKeys: CancelKeys;
  readonly tls: CallerTls | undefined;
}

/** Brings one caller through TLS, start-up and authentication. */
export class CallerStartup {
  private readonly connection: PostgresConnection;
  /** The innermost socket: the TLS one once the caller asked for it. */
  private socket: Duplex;
  private route: RouteState | undefined;
  private keyId: string | undefined;

  constructor(
    private readonly raw: Socket,
    private readonly context: StartupContext,
    private readonly onAuthenticated: (caller: AuthenticatedCaller) => void,
    private readonly onRefused: (fault: Fault) => void,
  ) {
    this.socket = raw;
    const adapters: PostgresConnectionAdapters = { upgradeTls: () => this.upgrade() };
    this.connection = new PostgresConnection(toWeb(raw), this.createOptions(), adapters);
  }

  private createOptions(): PostgresConnectionOptions {
    const { tls } = this.context;
    const noKey = new ArrayBuffer(0);
    return {
      ...(tls === undefined ? {} : { tls: { key: noKey, cert: noKey } }),
      onMessage: (message, { hasStarted }) =>
        hasStarted ? undefined : this.answerInitial(Buffer.from(message)),
      onStartup: () => this.start(),
      onAuthenticated: () => this.finish(),
      auth: {
        method: 'scram-sha-256',
        getScramSha256Data: ({ username }) => this.context.access.getScramData(username),
        validateCredentials: async ({ username, ...proof }) => {
          const key = await this.context.access.findProvenKey(username, proof);
          this.keyId = key?.id;
          return key !== undefined;
        },
      },
    };
  }

  /** Answers requests that come in place of a start-up message; others go to the library. */
  private answerInitial(message: Buffer): Uint8Array | undefined {
    if (message.length < INITIAL_HEADER_BYTES) {
      return undefined;
    }
    switch (message.readUInt32BE(4)) {
      case CANCEL_REQUEST_CODE:
        this.context.cancelKeys.cancel(message.readInt32BE(8), message.readInt32BE(12));
        this.raw.destroy();
        return Buffer.alloc(0);
      case ENCRYPTION_REQUEST_CODE:
        return ENCRYPTION_REFUSED;
      default:
        return undefined;
    }
  }

  private start(): void {
    const found = this.context.access.tryGetRoute(this.getDatabase());
    if (found.isErr()) {
      this.refuse(found.error);
      return;
    }
    this.route = found.value;
    if (found.value.openAs !== undefined) {
      this.connection.options.auth = { method: 'trust' };
    }
  }

  private finish(): void {
    const { route, keyId } = this;
    const name = route?.openAs ?? toAccountId(this.connection.clientParams?.user ?? '');
    if (route === undefined) {
      return;
    }
    const checked = this.context.access.tryCheck(name, keyId, route.route);
    if (checked.isErr()) {
      this.refuse(checked.error);
      return;
    }
    const parameters = { ...this.connection.clientParams };
    const caller = { account: name, route, keyId, socket: this.socket, parameters };
    this.detach(() => this.onAuthenticated(caller));
  }

  private refuse(fault: Fault): void {
    this.detach(() => {
      this.socket.end(encodeError(fault, Severity.Fatal));
      this.onRefused(fault);
    });
  }

  /** Ends the library's part; the socket is free once what it wrote is out. */
  private detach(then: () => void): void {
    void this.connection.detach();
    setImmediate(() => {
      takeSocketOver(this.socket);
      then();
    });
  }

  private async upgrade(): Promise<{
    duplex: DuplexStream<Uint8Array>;
    tlsInfo: Record<string, never>;
  }> {
    const { tls } = this.context;
    takeSocketOver(this.raw);
    const secureContext = createSecureContext({ cert: tls?.certificate, key: tls?.key });
    const secure = new TLSSocket(this.raw, { isServer: true, secureContext });
    this.socket = secure;
    await new Promise<void>((resolve, reject) => {
      secure.once('secure', resolve);
      secure.once('error', reject);
    });
    return { duplex: toWeb(secure), tlsInfo: {} };
  }

  private getDatabase(): string {
    const { user, database } = this.connection.clientParams ?? { user: '' };
    return database ?? user;
  }
}

function toWeb(socket: Duplex): DuplexStream<Uint8Array> {
  return Duplex.toWeb(socket);
}
