import type { Server } from 'node:http';
import type { FastifyInstance } from 'fastify';
import { waitForPendingInput } from '../../common/tasks/index.js';
import type { TimerService } from '../../common/timer/index.js';

/**
 * Stops an HTTP server gracefully. Idle connections are closed at once. Requests that have arrived
 * are answered, also those not read from their sockets yet, and each connection is closed after its
 * answer.
 */
export class GracefulShutdown {
  private isStopping = false;

  constructor(
    private readonly server: Server,
    private readonly timer: TimerService,
    /** Time that running requests have to finish, in milliseconds. */
    private readonly limitMs: number,
  ) {}

  /** Lets the answers of a routing close their connections once the server stops. */
  addRouting(routing: FastifyInstance): void {
    routing.addHook('onSend', (_request, reply, payload, done) => {
      if (this.isStopping) {
        reply.header('connection', 'close');
      }
      done(null, payload);
    });
  }

  /** Stops listening and waits for running requests, at most for the time limit. */
  async stop(): Promise<void> {
    this.isStopping = true;
    if (!this.server.listening) {
      return;
    }
    const cancel = this.timer.once(this.limitMs, () => this.server.closeAllConnections());
    await waitForPendingInput();
    await new Promise<void>((resolve) => this.server.close(() => resolve()));
    cancel();
  }
}
