import { createHmac } from 'node:crypto';
import { verifyScramSha256Password, type ScramSha256Data } from 'pg-gateway';
import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { toAccountId, type AccountId, type FailureDomain } from '../../common/ids/index.js';
import type { DaemonRecords } from '../../decisions/control/index.js';
import type { KeyHash, RouteState } from '../../decisions/tickets/index.js';
import type { HolderLease } from '../holder/index.js';

const UNKNOWN_ACCOUNT_ITERATIONS = 4096;
const SALT_BYTES = 16;

/** A caller's SCRAM proof and the data to verify it with. */
export interface ScramProof {
  readonly authMessage: string;
  readonly clientProof: string;
  readonly scramSha256Data: ScramSha256Data;
}

/** Authenticates and authorizes callers by the control records in force. */
export class CallerAccess {
  constructor(
    private readonly records: DaemonRecords,
    private readonly lease: HolderLease,
    private readonly fleetKey: string,
    private readonly domain: FailureDomain,
  ) {}

  /** Returns a new caller's route; refused while this host's failure domain is out of service. */
  tryAdmit(database: string): Result<RouteState, Fault> {
    return this.tryGetRoute(database).andThen((route) =>
      this.records.isInService(this.domain) ? ok(route) : err(this.createOutOfServiceFault()),
    );
  }

  /** Returns why callers have to use another host; undefined while this host is in service. */
  findDrainReason(): Fault | undefined {
    return this.records.isInService(this.domain) ? undefined : this.createOutOfServiceFault();
  }

  /**
   * Returns the route of a database name; refused without a valid lease, since this daemon's
   * records may then be out of date.
   */
  tryGetRoute(database: string): Result<RouteState, Fault> {
    if (!this.lease.isValid()) {
      return err(createFault(Diagnostics.LeaseExpired, {}, { step: 'caller.start' }));
    }
    const route = this.records.getRoute(database);
    return route === undefined
      ? err(createFault(Diagnostics.RouteUnknown, { database }, { step: 'caller.start' }))
      : ok(route);
  }

  /** Returns the route if the caller may still use it with its key; otherwise a fault. */
  tryAuthorize(
    account: AccountId,
    keyId: string | undefined,
    database: string,
  ): Result<RouteState, Fault> {
    return this.tryGetRoute(database).andThen((route) => {
      if (keyId === undefined) {
        return route.openAs === account ? ok(route) : err(createKeyWithdrawnFault(account));
      }
      if (this.findKey(account, (key) => key.id === keyId) === undefined) {
        return err(createKeyWithdrawnFault(account));
      }
      const isAllowed = route.accounts?.includes(account) ?? true;
      const values = { account, database };
      const context = { step: 'caller.check' };
      return isAllowed ? ok(route) : err(createFault(Diagnostics.RouteForbidden, values, context));
    });
  }

  /**
   * Returns the salt and iteration count of an account. An unknown account gets a fabricated salt,
   * the same on each call, so that a caller can't find out which accounts exist.
   */
  getScramData(name: string): ScramSha256Data {
    const account = this.records.getAccount(toAccountId(name));
    const emptyKey = Buffer.alloc(0).toString('base64');
    return {
      salt: account?.salt ?? this.createSalt(name),
      iterations: account?.iterations ?? UNKNOWN_ACCOUNT_ITERATIONS,
      storedKey: emptyKey,
      serverKey: emptyKey,
    };
  }

  /** Finds the key that a proof was made with, and sets the server key for the server signature. */
  async findProvenKey(name: string, proof: ScramProof): Promise<KeyHash | undefined> {
    const keys = this.records.getAccount(toAccountId(name))?.keys ?? [];
    for (const key of keys) {
      const { authMessage, clientProof } = proof;
      const { storedKey } = key;
      if (await verifyScramSha256Password({ authMessage, clientProof, storedKey })) {
        proof.scramSha256Data.serverKey = key.serverKey;
        return key;
      }
    }
    return undefined;
  }

  private createOutOfServiceFault(): Fault {
    const context = { step: 'caller.domain' };
    return createFault(Diagnostics.DomainOutOfService, { domain: this.domain }, context);
  }

  private findKey(account: AccountId, predicate: (key: KeyHash) => boolean): KeyHash | undefined {
    return this.records.getAccount(account)?.keys.find(predicate);
  }

  private createSalt(name: string): string {
    const digest = createHmac('sha256', this.fleetKey).update(`salt/${name}`).digest();
    return digest.subarray(0, SALT_BYTES).toString('base64');
  }
}

function createKeyWithdrawnFault(account: AccountId): Fault {
  return createFault(Diagnostics.KeyWithdrawn, { account }, { step: 'caller.check' });
}
