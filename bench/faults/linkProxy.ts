import { createServer, type Server, Socket } from 'node:net';
import { splitAddress } from '../../src/common/settings/index.js';
import type { TimerService } from '../../src/common/timer/index.js';

/** What happens to the bytes between two addresses. */
export enum LinkFault {
  /** Nothing arrives, either way; what is held up goes on when the fault ends. */
  Cut = 'cut',
  /** Nothing arrives at the side that was dialled. */
  OneWay = 'one-way',
  /** Everything arrives late. */
  Delay = 'delay',
}

const DELAY_MS = 60;

interface Relay {
  readonly from: string;
  readonly client: Socket;
  readonly server: Socket;
  /** The connection never carries a byte again, as when something between lost track of it. */
  isSilent: boolean;
}

/** Stands before one address and harms the connections that others make to it. */
export class LinkProxy {
  private readonly server: Server;
  private readonly relays = new Set<Relay>();
  /** Every socket, also those whose other side is gone while they are silent. */
  private readonly sockets = new Set<Socket>();
  private readonly faults = new Map<string, LinkFault>();

  constructor(
    /** Address that others dial. */
    readonly address: string,
    private readonly target: string,
    private readonly timer: TimerService,
  ) {
    this.server = createServer({ noDelay: true }, (client) => this.accept(client));
  }

  async start(): Promise<void> {
    const { host, port } = splitAddress(this.address);
    await new Promise<void>((resolve) => this.server.listen(port, host, resolve));
  }

  async stop(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    for (const socket of this.sockets) {
      socket.destroy();
    }
    await closed;
  }

  /** Begins or ends a fault for the connections of an IP address. */
  setFault(from: string, fault: LinkFault | undefined): void {
    if (fault === undefined) {
      this.faults.delete(from);
    } else {
      this.faults.set(from, fault);
    }
    for (const relay of this.relays) {
      this.update(relay);
    }
  }

  /** Ends all faults but silence. */
  heal(): void {
    this.faults.clear();
    for (const relay of this.relays) {
      this.update(relay);
    }
  }

  /** Silences the present connections for good; new ones work. */
  silence(): void {
    for (const relay of this.relays) {
      relay.isSilent = true;
      this.update(relay);
    }
  }

  /** Resets the present connections. */
  reset(): void {
    for (const { client, server } of [...this.relays]) {
      client.resetAndDestroy();
      server.resetAndDestroy();
    }
  }

  private accept(client: Socket): void {
    const { host, port } = splitAddress(this.target);
    const server = new Socket();
    server.setNoDelay(true);
    server.connect({ host, port });
    const relay = { from: client.remoteAddress ?? '', client, server, isSilent: false };
    this.relays.add(relay);
    this.pass(relay, client, server);
    this.pass(relay, server, client);
    this.update(relay);
  }

  private pass(relay: Relay, from: Socket, to: Socket): void {
    const forget = (): void => {
      this.relays.delete(relay);
      if (!relay.isSilent) {
        to.destroy();
      }
    };
    from.on('data', (bytes: Buffer) => {
      if (this.faults.get(relay.from) === LinkFault.Delay) {
        this.timer.once(DELAY_MS, () => {
          if (!to.destroyed) {
            to.write(bytes);
          }
        });
      } else if (!to.destroyed) {
        to.write(bytes);
      }
    });
    this.sockets.add(from);
    from.on('error', () => from.destroy());
    from.on('close', () => this.sockets.delete(from));
    from.on('close', forget);
  }

  private update({ from, client, server, isSilent }: Relay): void {
    const fault = this.faults.get(from);
    const isCut = isSilent || fault === LinkFault.Cut;
    if (isCut || fault === LinkFault.OneWay) {
      client.pause();
    } else {
      client.resume();
    }
    if (isCut) {
      server.pause();
    } else {
      server.resume();
    }
  }
}
