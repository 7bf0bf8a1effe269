import type { AccountId } from '../../common/ids/index.js';
import type { TimerService } from '../../common/timer/index.js';
import { BackendProtocol, type BackendTarget } from '../backend/index.js';
import type { PostgresAccess } from './postgresAccess.js';
import { PostgresLink } from './postgresLink.js';
import { PostgresProbe } from './postgresProbe.js';

/** The PostgreSQL protocol to backend servers, with the daemon's own credentials. */
export class PostgresProtocol extends BackendProtocol {
  override readonly isPerAccount = false;
  override readonly checksMinimum = false;

  constructor(private readonly access: Omit<PostgresAccess, 'database'>) {
    super();
  }

  override open(
    target: BackendTarget,
    _account: AccountId,
    timeoutMs: number,
    timer: TimerService,
  ): Promise<PostgresLink> {
    const access = { ...this.access, database: target.group };
    return PostgresLink.open(target.address, access, timeoutMs, timer);
  }

  override createProbe({ address, group }: BackendTarget, timer: TimerService): PostgresProbe {
    return new PostgresProbe(address, { ...this.access, database: group }, timer);
  }
}
