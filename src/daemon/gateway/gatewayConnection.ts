import type { Socket } from 'node:net';
import type { Fault } from '../../common/diagnostics/index.js';
import type { TimerService } from '../../common/timer/index.js';
import type { ConnectionCharge, ConnectionLimits, LimitedConnection } from '../clients/index.js';
import type { CallerSession } from './callerSession.js';

/** Time for a caller whose connection a limit closed to take the refusal. */
const LIMITED_CLOSE_MS = 200;

/** A caller's connection to the gateway, on which the process's limits are kept. */
export class GatewayConnection implements LimitedConnection {
  readonly charge: ConnectionCharge;
  session: CallerSession | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly timer: TimerService,
    limits: ConnectionLimits,
    /** Refuses a caller that was not authenticated yet. */
    private readonly refuse: (fault: Fault) => void,
  ) {
    this.charge = limits.open(this);
    socket.once('close', () => this.charge.close());
  }

  updateReading(): void {
    this.session?.updateReading();
  }

  closeFor(fault: Fault): void {
    if (this.session === undefined) {
      this.refuse(fault);
    } else {
      this.session.fail(fault);
    }
    this.timer.once(LIMITED_CLOSE_MS, () => this.socket.destroy());
  }
}
