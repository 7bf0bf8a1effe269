import type { Logger, RequestLog } from '../common/logging/index.js';
import type { Metrics } from '../common/metrics/index.js';
import type { Settings } from '../common/settings/index.js';
import type { TimerService } from '../common/timer/index.js';
import type { ControlSettings, DaemonRecords } from '../decisions/control/index.js';
import type { ConsensusSettings } from '../decisions/consensus/index.js';
import type { BackendProtocol } from './backend/index.js';
import type { Platform } from './control/index.js';
import type { DaemonFiles } from './daemonFiles.js';
import type { CallerFrontend, CallerRequests } from './entry/index.js';
import type { HolderLease } from './holder/index.js';
import type { ControlClient, Readiness } from './operators/index.js';

/** What a daemon's interfaces to the outside are made from. */
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
}

/** An interface to the outside besides those of callers and operators. */
export abstract class DaemonFront {
  /** Starts to listen; fails when the address can't be had. */
  abstract start(): Promise<void>;
  /** Stops listening and ends what is left. */
  abstract stop(): Promise<void>;
}

/** How a daemon speaks to callers, backend servers and the platform. */
export abstract class DaemonInterfaces {
  /** Bounds that fit the platform's ways. */
  abstract readonly control: ControlSettings;
  /** Timing of the control quorum. */
  abstract readonly consensus: ConsensusSettings;
  /** Whether callers are turned away while this host's failure domain is out of service. */
  abstract readonly leavesWithDomain: boolean;
  /** Time for which new callers may still come after this host said that it is not ready. */
  abstract readonly stopNoticeMs: number;
  /** Time after the start until the operators' interface is served; callers come first. */
  abstract readonly operatorsDelayMs: number;
  abstract createBackend(settings: Settings, files: DaemonFiles): BackendProtocol;
  abstract createPlatform(settings: Settings, timer: TimerService): Platform;
  /** Creates the callers' interface; undefined where none is served. */
  abstract createCallers(parts: DaemonParts): CallerFrontend | undefined;
  /** Creates further interfaces. */
  abstract createFronts(parts: DaemonParts): readonly DaemonFront[];
}
