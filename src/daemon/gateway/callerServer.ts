import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { Logger } from '../../common/logging/index.js';
import { splitAddress } from '../../common/settings/index.js';
import { endSocket } from '../../common/sockets/index.js';
import { waitForPendingInput } from '../../common/tasks/index.js';
import type { AuthenticatedCaller } from './authenticatedCaller.js';
import { CallerSession } from './callerSession.js';
import { CallerFrontend } from '../entry/index.js';
import { CallerStartup } from './callerStartup.js';
import type { CallerTls } from './callerTls.js';
import { CallerWriter } from './callerWriter.js';
import { GatewayConnection } from './gatewayConnection.js';
import { CancelKeys } from './cancelKeys.js';
import { readStartupParameters } from './readStartupParameters.js';
import type { SessionContext } from './sessionContext.js';
import { encodeCancelKey, encodeError, encodeParameter, Severity } from './responses.js';

/** Connections that may be open beyond the limit while those that they replace are closed. */
const REPLACED_CONNECTIONS = 50;
const AUTHENTICATION_TIMEOUT_MS = 10_000;
const SERVER_VERSION = '15.0 (filbertpoint)';

const INITIAL_PARAMETERS: readonly (readonly [name: string, value: string])[] = [
  ['server_version', SERVER_VERSION],
  ['server_encoding', 'UTF8'],
  ['client_encoding', 'UTF8'],
  ['DateStyle', 'ISO, MDY'],
  ['TimeZone', 'UTC'],
  ['integer_datetimes', 'on'],
  ['standard_conforming_strings', 'on'],
];

/** Listen address, connection limit and TLS of a caller server. */
export interface CallerServerOptions {
  /** Listen address, `ip:port`. */
  readonly listen: string;
  readonly maximumConnections: number;
  readonly tls: CallerTls | undefined;
}

/** Accepts callers that use the PostgreSQL protocol and manages their sessions. */
export class CallerServer extends CallerFrontend {
  private readonly server: Server;
  private readonly cancelKeys = new CancelKeys();
  private readonly sessions = new Set<CallerSession>();
  /** Callers that have not been authenticated yet. */
  private readonly starting = new Set<CallerStartup>();
  /** Connections of ended sessions that are still open: their callers may take a last answer. */
  private readonly closing = new Set<Socket>();
  /** All open connections, for the limits on them. */
  private readonly connections = new Set<unknown>();
  private draining = false;
  private boundPort = 0;

  constructor(
    private readonly options: CallerServerOptions,
    private readonly context: SessionContext,
    private readonly logger: Logger,
  ) {
    super();
    this.server = createServer({ noDelay: true, keepAlive: true }, (socket) => this.accept(socket));
    // Some more are accepted, which replace connections that have not been authenticated.
    this.server.maxConnections = options.maximumConnections + REPLACED_CONNECTIONS;
  }

  override get count(): number {
    return this.sessions.size + this.starting.size + this.closing.size;
  }

  override get port(): number {
    return this.boundPort;
  }

  override async listen(): Promise<void> {
    const { host: ip, port } = splitAddress(this.options.listen);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
    this.boundPort = (this.server.address() as AddressInfo).port;
  }

  /** Ends sessions whose key or route was withdrawn; drains all if this host is out of service. */
  override recordsChanged(): void {
    const reason = this.getDrainReason();
    for (const session of [...this.sessions]) {
      session.recordsChanged();
      session.setDraining(reason);
    }
  }

  override drain(): void {
    this.draining = true;
    for (const startup of [...this.starting]) {
      startup.refuse(this.createDrainFault());
    }
    for (const session of [...this.sessions]) {
      session.setDraining(this.getDrainReason());
    }
  }

  override finish(): void {
    this.drain();
    const fault = createFault(Diagnostics.ShuttingDown, {}, { step: 'caller.finish' });
    for (const session of [...this.sessions]) {
      session.finish(fault);
    }
  }

  override close(): void {
    this.drain();
    void this.stopListening();
    const fault = createFault(Diagnostics.ShuttingDown, {}, { step: 'caller.close' });
    for (const session of [...this.sessions]) {
      session.fail(fault);
    }
  }

  /**
   * Closes the listening socket after pending connections were accepted, so that their callers are
   * refused with a reason. Closing it at once would reset them.
   */
  private async stopListening(): Promise<void> {
    await waitForPendingInput();
    this.server.close();
  }

  private accept(socket: Socket): void {
    socket.on('error', () => socket.destroy());
    const { limits } = this.context;
    if (this.connections.size >= this.options.maximumConnections) {
      limits.makeRoom((each) => this.connections.has(each));
    }
    const connection = new GatewayConnection(socket, this.context.timer, limits, (fault) =>
      startup.refuse(fault),
    );
    this.connections.add(connection);
    socket.once('close', () => this.connections.delete(connection));
    const cancelTimeout = this.context.timer.once(AUTHENTICATION_TIMEOUT_MS, () => {
      const fault = createFault(Diagnostics.AuthenticationTimeout, {}, { step: 'caller.start' });
      endSocket(socket, this.context.timer, encodeError(fault, Severity.Fatal));
    });
    const endStartup = (): void => {
      cancelTimeout();
      this.starting.delete(startup);
    };
    socket.once('close', endStartup);
    const { access, timer } = this.context;
    const startupContext = { access, cancelKeys: this.cancelKeys, tls: this.options.tls, timer };
    const startup = new CallerStartup(
      socket,
      startupContext,
      (caller) => {
        endStartup();
        this.startSession(caller, connection);
      },
      (fault) => {
        endStartup();
        this.reportRefusal(fault, socket);
      },
    );
    this.starting.add(startup);
    if (this.draining) {
      startup.refuse(this.createDrainFault());
    }
  }

  private startSession(caller: AuthenticatedCaller, connection: GatewayConnection): void {
    const { socket } = caller;
    const { charge } = connection;
    charge.recordIntroduced();
    const writer = new CallerWriter(socket, this.context.timer, charge);
    const key = this.cancelKeys.add(() => session.cancel());
    const session = new CallerSession(caller, writer, this.context, charge, () => {
      this.sessions.delete(session);
      this.cancelKeys.remove(key);
      if (!socket.closed) {
        this.closing.add(socket);
      }
    });
    this.sessions.add(session);
    connection.session = session;
    socket.on('close', () => {
      session.close();
      this.closing.delete(socket);
    });
    socket.on('end', () => {
      session.close();
      writer.end();
    });
    for (const [name, value] of INITIAL_PARAMETERS) {
      writer.write(encodeParameter(name, value));
    }
    writer.write(encodeCancelKey(key.processId, key.secret));
    session.applyStartup(readStartupParameters(caller.parameters));
    socket.on('data', (bytes: Buffer) => session.receive(bytes));
    // Before the first bytes are processed, which may pause the reading.
    socket.resume();
    session.receive(caller.received);
    session.setDraining(this.getDrainReason());
  }

  private getDrainReason(): Fault | undefined {
    return this.draining ? this.createDrainFault() : this.context.access.findDrainReason();
  }

  private createDrainFault(): Fault {
    return createFault(Diagnostics.ShuttingDown, {}, { step: 'caller.drain' });
  }

  private reportRefusal(fault: Fault, socket: Socket): void {
    this.logger.report(
      Diagnostics.CallerRefused,
      { reason: fault.message },
      { step: fault.step, peer: socket.remoteAddress },
    );
  }
}
