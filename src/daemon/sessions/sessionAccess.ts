import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import type { AccountId, Revision } from '../../common/ids/index.js';
import type { DaemonRecords } from '../../decisions/control/index.js';
import { OPEN_ACCOUNT, type RouteState } from '../../decisions/tickets/index.js';
import type { HolderLease } from '../holder/index.js';

/** Database name and key digest that a caller presented. */
export interface CallerCredentials {
  readonly database: string;
  /** Digest of the caller's key; undefined if it presented none. */
  readonly keyDigest: string | undefined;
}

/** Authorization of a caller to use a route. */
export interface SessionGrant {
  readonly account: AccountId;
  readonly route: RouteState;
}

/** Authorizes callers to use routes, by the configuration in force. */
export class SessionAccess {
  constructor(
    private readonly records: DaemonRecords,
    private readonly lease: HolderLease,
  ) {}

  /** Whether a configuration is known and the lease valid, so that callers can be authorized. */
  get hasConfiguration(): boolean {
    return this.lease.isValid() && this.records.getConfiguration() !== undefined;
  }

  /** Revision of the control records that decisions are based on. */
  get revision(): Revision {
    return this.records.revision;
  }

  /** Authorizes a caller by the current configuration; returns a fault if it is refused. */
  tryGrant({ database, keyDigest }: CallerCredentials): Result<SessionGrant, Fault> {
    const configuration = this.records.getConfiguration();
    const route = configuration?.getRoute(database);
    const context = { step: 'session.access' };
    if (route === undefined) {
      return err(createFault(Diagnostics.RouteUnknown, { database }, context));
    }
    if (route.openAs !== undefined) {
      return ok({ account: OPEN_ACCOUNT, route });
    }
    const account = keyDigest === undefined ? undefined : configuration?.findAccount(keyDigest);
    if (account === undefined) {
      return err(createFault(Diagnostics.KeyRefused, { account: 'unknown' }, context));
    }
    const isAllowed = route.accounts?.includes(account) ?? true;
    return isAllowed
      ? ok({ account, route })
      : err(createFault(Diagnostics.RouteForbidden, { account, database }, context));
  }

  /**
   * Checks that an open transaction may go on: its caller's key still belongs to the client account
   * that it runs for. Changes of its route apply from the next transaction.
   */
  tryContinue({ keyDigest }: CallerCredentials, { account }: SessionGrant): Result<void, Fault> {
    if (account === OPEN_ACCOUNT) {
      return ok(undefined);
    }
    const configuration = this.records.getConfiguration();
    const holder = keyDigest === undefined ? undefined : configuration?.findAccount(keyDigest);
    if (holder === account) {
      return ok(undefined);
    }
    const context = { step: 'session.access', execution: Execution.NotRun };
    return err(
      holder === undefined
        ? createFault(Diagnostics.KeyRefused, { account: 'unknown' }, context)
        : createFault(Diagnostics.TransactionLost, {}, context),
    );
  }
}
