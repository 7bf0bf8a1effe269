import type { Result } from 'neverthrow';
import type { Fault } from '../../common/diagnostics/index.js';
import type { Logger } from '../../common/logging/index.js';
import type { Metrics } from '../../common/metrics/index.js';
import type { TimerService } from '../../common/timer/index.js';
import type { Ticket } from '../../decisions/tickets/index.js';
import type { BearerTokens } from './bearerTokens.js';
import type { ControlClient } from './controlClient.js';
import type { Readiness } from './readiness.js';

/** What the operators' HTTP interface is built on. */
export interface OperatorServerOptions {
  /** Address to bind, `ip:port`; port 0 lets the system choose one. */
  readonly listen: string;
  readonly control: ControlClient;
  readonly readiness: Readiness;
  readonly metrics: Metrics;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Checks the body of a ticket. */
  readonly parseTicket: (body: unknown) => Result<Ticket, Fault>;
  /** Tokens of operators; without them the interface asks for none. */
  readonly operatorTokens?: BearerTokens;
  /** Tokens of backend servers for announcements; without them the interface asks for none. */
  readonly announcerTokens?: BearerTokens;
  /** Time within which a request must have come whole; 10 s when absent. */
  readonly requestTimeoutMs?: number;
}
