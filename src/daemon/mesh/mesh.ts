import { createServer as createHttpServer, type Server } from 'node:http';
import { createServer as createHttpsServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import { WebSocket, WebSocketServer, type ClientOptions } from 'ws';
import type { Incarnation } from '../../common/ids/index.js';
import { Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { MeshTraffic } from '../../common/metrics/index.js';
import type { Logger } from '../../common/logging/index.js';
import { Mailbox, waitForPendingInput } from '../../common/tasks/index.js';
import type { TimerService, Unsubscribe } from '../../common/timer/index.js';
import { formatAddress, isPeerAddress, splitAddress } from '../../common/settings/index.js';
import { MeshKind } from './meshKind.js';
import {
  GREETING_TIMEOUT_MS,
  HEARTBEAT_INTERVAL_MS,
  MESH_VERSION,
  MeshLink,
  type MeshLinkOwner,
} from './meshLink.js';
import type { Hello, MeshMessage } from './meshMessage.js';
import type { MeshOptions } from './meshOptions.js';

/**
 * Address to connect to instead of an invalid one, so that the link is lost like one to a host that
 * is down.
 */
const UNREACHABLE_ADDRESS = '0.0.0.0:0';

/** Message with the link over which it was received. */
export interface MeshDelivery<Message extends MeshMessage = MeshMessage> {
  readonly link: MeshLink;
  readonly message: Message;
}

/** Links of a daemon to the other daemons. */
export class Mesh implements MeshLinkOwner {
  /** Links that were closed, by either side. */
  readonly lost = new Mailbox<MeshLink>();
  private readonly mailboxes = new Map<MeshKind, Mailbox<MeshDelivery>>();
  /** Link over which messages to each address are sent, whichever side opened it. */
  private readonly routes = new Map<string, MeshLink>();
  private readonly links = new Set<MeshLink>();
  private readonly webServer: Server;
  private readonly server: WebSocketServer;
  private hello: Hello;
  private isClosing = false;
  /**
   * Stops the heartbeat timer, which all links share since a timer for each link would wake the
   * process more often. Undefined without links.
   */
  private stopHeartbeats: Unsubscribe | undefined;

  constructor(
    private readonly options: MeshOptions,
    private readonly timer: TimerService,
    private readonly logger: Logger,
    readonly traffic: MeshTraffic,
  ) {
    this.webServer = createWebServer(options);
    this.server = new WebSocketServer({
      server: this.webServer,
      maxPayload: options.maximumFrameBytes,
      perMessageDeflate: false,
    });
    this.hello = createHello(options, options.listen);
    // Errors of the web server are reported by `listen`.
    this.server.on('error', () => undefined);
    this.server.on('connection', (socket, request) => {
      if (this.isClosing) {
        socket.terminate();
        return;
      }
      const { remoteAddress, remotePort } = request.socket;
      this.addLink(`${remoteAddress ?? '?'}:${remotePort ?? 0}`, socket);
    });
  }

  /** Mesh address of this daemon, with the port that was assigned. */
  get address(): string {
    return this.hello.address;
  }

  /** Number of open links. */
  get count(): number {
    return this.links.size;
  }

  /** Starts to listen; rejects if the address is not available. */
  async listen(): Promise<void> {
    const { host: ip, port } = splitAddress(this.options.listen);
    await new Promise<void>((resolve, reject) => {
      this.webServer.once('error', reject);
      this.webServer.listen(port, ip, resolve);
    });
    const bound = this.webServer.address() as AddressInfo;
    this.hello = createHello(
      this.options,
      this.options.advertise ?? formatAddress({ host: ip, port: bound.port }),
    );
  }

  /** Calls the handler for each received message of one kind. */
  receive<Kind extends MeshMessage['kind']>(
    kind: Kind,
    handler: (delivery: MeshDelivery<Extract<MeshMessage, { readonly kind: Kind }>>) => void,
  ): void {
    let mailbox = this.mailboxes.get(kind);
    if (mailbox === undefined) {
      mailbox = new Mailbox<MeshDelivery>();
      this.mailboxes.set(kind, mailbox);
    }
    void mailbox.stream.observe((delivery) =>
      handler(delivery as MeshDelivery<Extract<MeshMessage, { readonly kind: Kind }>>),
    );
  }

  /** Returns the link to an address; opens one if neither side has opened one. */
  getLink(address: string): MeshLink {
    const known = this.routes.get(address);
    if (known !== undefined && !known.isClosed) {
      return known;
    }
    const link = this.dial(address);
    this.routes.set(address, link);
    return link;
  }

  /** Sends a message to the daemon at an address. */
  send(address: string, message: MeshMessage): void {
    this.getLink(address).send(message);
  }

  /** Whether an open link leads to this incarnation of a daemon. */
  hasLinkTo(incarnation: Incarnation): boolean {
    for (const link of this.links) {
      if (link.peer?.incarnation === incarnation) {
        return true;
      }
    }
    return false;
  }

  /**
   * Stops listening, and closes all links after the messages that had arrived were processed and
   * those sent were delivered.
   */
  async close(): Promise<void> {
    // Nothing can be sent over a link that is being closed, not even a refusal.
    await waitForPendingInput();
    this.isClosing = true;
    const closed = new Promise<void>((resolve) => {
      this.webServer.close(() => resolve());
    });
    await Promise.all([...this.links].map((link) => link.finish()));
    // No message over a link that was opened in the meantime is waited for, and the web server closes
    // only after these links.
    for (const link of this.links) {
      link.close('shutdown');
    }
    this.server.close();
    this.webServer.closeAllConnections();
    await closed;
  }

  linkOpened(link: MeshLink): void {
    this.adoptRoute(link);
    const fields = { step: 'mesh.link', peer: link.peer?.host };
    this.logger.report(Diagnostics.MeshLinkOpened, {}, fields);
  }

  messageReceived(link: MeshLink, message: MeshMessage): void {
    try {
      this.mailboxes.get(message.kind)?.post({ link, message });
    } catch (error) {
      const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
      const peer = link.peer?.host;
      this.logger.report(Diagnostics.TaskFailed, { reason }, { step: 'mesh.receive', peer });
      link.close('the handler of a message failed');
    }
  }

  linkClosed(link: MeshLink, fault: Fault): void {
    this.links.delete(link);
    if (this.links.size === 0) {
      this.stopHeartbeats?.();
      this.stopHeartbeats = undefined;
    }
    if (this.routes.get(link.target) === link) {
      this.routes.delete(link.target);
    }
    const { diagnostic, values, step, peer } = fault;
    if (link.peer === undefined) {
      // Logged for debugging only: attempts to connect to a host that is down fail many times a
      // second.
      this.logger.debug(fault.message, { step, peer });
    } else {
      this.logger.report(diagnostic, values, { step, peer });
    }
    this.lost.post(link);
  }

  /** Sends over this link from now on, unless another link to the same incarnation is open. */
  private adoptRoute(link: MeshLink): void {
    const known = this.routes.get(link.target);
    const isOpen = known?.isClosed === false;
    if (!isOpen || known.peer?.incarnation !== link.peer?.incarnation) {
      this.routes.set(link.target, link);
      known?.transferWaiting(link);
    }
  }

  private addLink(address: string, socket: WebSocket): MeshLink {
    const link = new MeshLink(address, socket, this.hello, this.timer, this);
    this.links.add(link);
    this.stopHeartbeats ??= this.timer.subscribe(HEARTBEAT_INTERVAL_MS, (nowMs) =>
      this.checkLinks(nowMs),
    );
    return link;
  }

  private checkLinks(nowMs: number): void {
    for (const link of this.links) {
      link.checkLiveness(nowMs);
    }
  }

  private dial(address: string): MeshLink {
    let onConnected: () => void = () => undefined;
    const socket = this.createSocket(address, () => onConnected());
    const link = this.addLink(address, socket);
    onConnected = () => link.recordConnected();
    return link;
  }

  private createSocket(target: string, onConnected: () => void): WebSocket {
    const { tls, maximumFrameBytes, listen } = this.options;
    const address = isPeerAddress(target) ? target : UNREACHABLE_ADDRESS;
    const options: ClientOptions = {
      localAddress: splitAddress(listen).host,
      maxPayload: maximumFrameBytes,
      perMessageDeflate: false,
      handshakeTimeout: GREETING_TIMEOUT_MS,
      finishRequest: (request) => {
        request.once('socket', (connection) => connection.once('connect', onConnected));
        request.end();
      },
    };
    if (tls === undefined) {
      return new WebSocket(`ws://${address}`, options);
    }
    const secure = { ca: tls.authority, cert: tls.certificate, key: tls.key };
    return new WebSocket(`wss://${address}`, {
      ...options,
      ...secure,
      // Hosts are identified by IP address; the fleet's own certificate authority proves
      // membership.
      checkServerIdentity: () => false,
    });
  }
}

function createHello(options: MeshOptions, address: string): Hello {
  const { host, incarnation } = options;
  return { kind: MeshKind.Hello, version: MESH_VERSION, host, incarnation, address };
}

function createWebServer({ tls }: MeshOptions): Server {
  if (tls === undefined) {
    return createHttpServer();
  }
  return createHttpsServer({
    ca: tls.authority,
    cert: tls.certificate,
    key: tls.key,
    requestCert: true,
    rejectUnauthorized: true,
  });
}
