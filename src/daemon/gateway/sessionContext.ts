import type { TimerService } from '../../common/timer/index.js';
import type { StatementClassifier } from '../../decisions/routing/index.js';
import type { TokenSigner } from '../../decisions/sessions/index.js';
import type { ConnectionLimits } from '../clients/index.js';
import type { CallerRequests } from '../entry/index.js';
import type { CallerAccess } from './callerAccess.js';

/** Dependencies and settings shared by all caller sessions. */
export interface SessionContext {
  readonly timer: TimerService;
  readonly access: CallerAccess;
  readonly classifier: StatementClassifier;
  readonly signer: TokenSigner;
  readonly requests: CallerRequests;
  readonly limits: ConnectionLimits;
  readonly statementTimeoutMs: number;
  readonly maximumMessageBytes: number;
}
