import type { FastifyInstance } from 'fastify';
import { readArrived } from '../../common/tasks/index.js';
import type { TimerService } from '../../common/timer/index.js';

/**
 * Stops an HTTP server whose idle connections are closed with it. What has arrived by then is answered,
 * also what was not read yet, and each connection ends with its answer.
 */
export class StoppingServer {
  private isStopping = false;

  constructor(
    private readonly server: FastifyInstance,
    private readonly timer: TimerService,
    /** Time that requests under way get to end, in milliseconds. */
    private readonly limitMs: number,
  ) {
    server.addHook('onSend', (_request, reply, payload, done) => {
      if (this.isStopping) {
        reply.header('connection', 'close');
      }
      done(null, payload);
    });
  }

  /** Stops listening and waits for requests under way, at most for the limit. */
  async stop(): Promise<void> {
    this.isStopping = true;
    const cancel = this.timer.once(this.limitMs, () => this.server.server.closeAllConnections());
    await readArrived();
    await this.server.close();
    cancel();
  }
}
