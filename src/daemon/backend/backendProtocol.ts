import type { AccountId, GroupId, InstanceId } from '../../common/ids/index.js';
import type { TimerService } from '../../common/timer/index.js';
import type { BackendLink } from './backendLink.js';
import type { BackendProbe } from './backendProbe.js';

/** The instance that a connection leads to. */
export interface BackendTarget {
  /** Address `ip:port`. */
  readonly address: string;
  readonly group: GroupId;
  readonly instance: InstanceId;
}

/** The protocol between daemons and backend servers. */
export abstract class BackendProtocol {
  /** Whether a connection runs the requests of one client account only. */
  abstract readonly isPerAccount: boolean;
  /** Whether the backend server itself checks that its log holds a request's minimum. */
  abstract readonly checksMinimum: boolean;
  /** Opens a connection; throws a Fault. */
  abstract open(
    target: BackendTarget,
    account: AccountId,
    timeoutMs: number,
    timer: TimerService,
  ): Promise<BackendLink>;
  /** Creates a probe of an instance, which uses a separate connection. */
  abstract createProbe(target: BackendTarget, timer: TimerService): BackendProbe;
}
