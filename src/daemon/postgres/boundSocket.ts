import { Socket } from 'node:net';

/** A socket that is bound to the daemon's own address when it connects. */
class BoundSocket extends Socket {
  constructor(private readonly localIp: string) {
    super();
    this.setNoDelay(true);
  }

  override connect(...parameters: unknown[]): this {
    const [port, host] = parameters;
    return super.connect({
      port: Number(port),
      host: String(host),
      localAddress: this.localIp,
    });
  }
}

/** Creates a socket that connects from the given local IP address. */
export function createBoundSocket(localIp: string): Socket {
  return new BoundSocket(localIp);
}
