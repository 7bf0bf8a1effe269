import type { Result } from 'neverthrow';
import type { Fault } from '../../common/diagnostics/index.js';
import type { Logger } from '../../common/logging/index.js';
import type { Metrics } from '../../common/metrics/index.js';
import type { TimerService } from '../../common/timer/index.js';
import type { Ticket } from '../../decisions/tickets/index.js';
import type { ConnectionLimits } from '../clients/index.js';
import type { BearerTokens } from './bearerTokens.js';
import type { ControlClient } from './controlClient.js';
import type { Readiness } from './readiness.js';

/** Dependencies and limits of the operators' HTTP interface. */
export interface OperatorServerOptions {
  /** Address to bind, `ip:port`; port 0 lets the system choose one. */
  readonly listen: string;
  readonly control: ControlClient;
  readonly readiness: Readiness;
  readonly metrics: Metrics;
  readonly timer: TimerService;
  readonly logger: Logger;
  /** Parses and validates the body of a ticket. */
  readonly parseTicket: (body: unknown) => Result<Ticket, Fault>;
  /** Tokens of operators; if absent, operators need no token. */
  readonly operatorTokens?: BearerTokens;
  /** Tokens of backend servers for announcements; if absent, announcements need no token. */
  readonly announcerTokens?: BearerTokens;
  /** Limits on the clients of the interface; if absent, there are none. */
  readonly limits?: ConnectionLimits;
  readonly maximumConnections?: number;
  /** Time within which a request must be received completely, in milliseconds; 10 s if absent. */
  readonly requestTimeoutMs?: number;
}
