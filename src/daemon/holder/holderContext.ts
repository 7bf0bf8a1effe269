import type { FailureDomain } from '../../common/ids/index.js';
import type { Logger, RequestLog } from '../../common/logging/index.js';
import type { InstanceMetrics } from '../../common/metrics/index.js';
import type { RandomSource } from '../../common/random.js';
import type { TimerService } from '../../common/timer/index.js';
import type { DaemonRecords } from '../../decisions/control/index.js';
import type { ReportPacer } from '../../decisions/overload/index.js';
import type { WithdrawalLimits } from '../../decisions/routing/index.js';
import type { WarmupLimits } from '../../decisions/warmup/index.js';
import type { BackendProtocol } from '../backend/index.js';
import type { LocalityContext } from '../requests/index.js';
import type { HolderLease } from './holderLease.js';
import type { StatementCounter } from './statementCounter.js';

/** Settings, services and records shared by the components of a holder. */
export interface HolderContext {
  readonly domain: FailureDomain;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly log: RequestLog;
  readonly random: RandomSource;
  readonly records: DaemonRecords;
  readonly lease: HolderLease;
  readonly protocol: BackendProtocol;
  readonly metrics: InstanceMetrics;
  readonly withdrawal: WithdrawalLimits;
  /** Sends load reports with answers; undefined where overload control is off. */
  readonly loadReports?: ReportPacer;
  /** Counts requests for usage reports; absent where usage is not reported. */
  readonly usage?: StatementCounter;
  /** Bound on the requests to cold instances; the default bound when absent. */
  readonly warmup?: WarmupLimits;
  /** Present where reads leave the own failure domain in measured shares. */
  readonly locality?: LocalityContext;
  /** Whether replicas are chosen by recent latencies, which are forgotten; false when absent. */
  readonly usesRecentLatency?: boolean;
  /** Requests a lease renewal without delay, since renewals carry the holder's reports. */
  readonly reportNow: () => void;
}
