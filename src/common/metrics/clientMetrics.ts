import { Counter, Gauge, type Registry } from 'prom-client';

/** Metrics of the limits on misbehaving clients. */
export class ClientMetrics {
  private readonly closed: Counter<'reason'>;
  private readonly held: Gauge;

  constructor(registry: Registry) {
    this.closed = new Counter({
      name: 'filbertpoint_clients_closed_total',
      help: 'Connections that were closed by a limit on clients, by reason.',
      labelNames: ['reason'],
      registers: [registry],
    });
    this.held = new Gauge({
      name: 'filbertpoint_client_held_bytes',
      help: 'Bytes that are held for clients: received, waiting, running and unsent.',
      registers: [registry],
    });
  }

  /** Records a connection that was closed. */
  recordClosed(reason: string): void {
    this.closed.inc({ reason });
  }

  /** Sets the bytes that are held for all clients. */
  setHeldBytes(bytes: number): void {
    this.held.set(bytes);
  }
}
