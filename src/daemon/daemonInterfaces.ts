import type { Logger, RequestLog } from '../common/logging/index.js';
import type { Metrics } from '../common/metrics/index.js';
import type { Settings } from '../common/settings/index.js';
import type { TimerService } from '../common/timer/index.js';
import type { ControlSettings, DaemonRecords } from '../decisions/control/index.js';
import type { ConsensusSettings } from '../decisions/consensus/index.js';
import type { BackendProtocol } from './backend/index.js';
import type { ConnectionLimits } from './clients/index.js';
import type { Platform } from './control/index.js';
import type { DaemonFiles } from './daemonFiles.js';
import type { CallerFrontend, CallerRequests } from './entry/index.js';
import type { HolderLease } from './holder/index.js';
import type { ControlClient, Readiness } from './operators/index.js';

/** The parts of a daemon from which its external interfaces are created. */
export interface DaemonParts {
  readonly settings: Settings;
  readonly files: DaemonFiles;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly log: RequestLog;
  readonly metrics: Metrics;
  readonly records: DaemonRecords;
  readonly lease: HolderLease;
  readonly readiness: Readiness;
  readonly requests: CallerRequests;
  readonly control: ControlClient;
  readonly limits: ConnectionLimits;
}

/** An external interface in addition to those for callers and operators. */
export abstract class DaemonFrontend {
  /** Starts listening; rejects if the address can't be bound. */
  abstract start(): Promise<void>;
  /** Stops listening and closes the remaining connections. */
  abstract stop(): Promise<void>;
}

/** Creates a daemon's interfaces to callers, backend servers and the platform. */
export abstract class DaemonInterfaces {
  /** Control settings that suit the platform. */
  abstract readonly control: ControlSettings;
  /** Timing of the control quorum. */
  abstract readonly consensus: ConsensusSettings;
  /** Whether the daemon reports itself not ready while its failure domain is out of service. */
  abstract readonly isReadyOnlyInService: boolean;
  /** Time for which new callers may still connect after the daemon reported itself not ready. */
  abstract readonly stopNoticeMs: number;
  abstract createBackend(settings: Settings, files: DaemonFiles): BackendProtocol;
  abstract createPlatform(settings: Settings, timer: TimerService): Platform;
  /** Creates the interface for callers; undefined if the daemon serves none. */
  abstract createCallers(parts: DaemonParts): CallerFrontend | undefined;
  /** Creates the additional external interfaces. */
  abstract createFrontends(parts: DaemonParts): readonly DaemonFrontend[];
}
