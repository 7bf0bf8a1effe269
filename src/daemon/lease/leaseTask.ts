import { Diagnostics } from '../../common/diagnostics/index.js';
import {
  toLeaseId,
  type AccountId,
  type FailureDomain,
  type GroupId,
  type HostId,
  type Incarnation,
  type LeaseId,
} from '../../common/ids/index.js';
import type { Logger } from '../../common/logging/index.js';
import { Mailbox } from '../../common/tasks/index.js';
import { AdaptiveTick, type TimerService, type Unsubscribe } from '../../common/timer/index.js';
import type {
  Announcement,
  ControlRecord,
  DaemonRecords,
  Departure,
  GroupReport,
  LeaseGrant,
} from '../../decisions/control/index.js';
import { GrantEffect, HeldLease } from '../../decisions/leases/index.js';
import type { ControlMember } from '../../decisions/tickets/index.js';
import { HolderLease } from '../holder/index.js';
import {
  MeshKind,
  tryUnpackRecords,
  type Mesh,
  type MeshLink,
  type PackedRecords,
} from '../mesh/index.js';
import type { ControlRoute } from './controlRoute.js';
import { RecentAnnouncements } from './recentAnnouncements.js';
import { RenewalBackoff } from './renewalBackoff.js';
import type { UsageRecorder } from './usageRecorder.js';
import type { WorkRecorder } from './workRecorder.js';

const RENEWAL_INTERVAL_MS = 250;
const CHECK_INTERVAL_MS = 50;
/**
 * Interval of checks while the lease is valid: half a renewal interval, since the lease then only
 * has to be renewed.
 */
const VALID_CHECK_INTERVAL_MS = RENEWAL_INTERVAL_MS / 2;
/** Minimum time between two renewals. */
const RENEWAL_SPACING_MS = 5;
/** Time for which a departure is repeated: longer than a change of the control leader takes. */
const DEPARTURE_RETENTION_MS = 3000;

/**
 * Maximum number of departures repeated: far more than the instances that stop within the
 * retention time.
 */
const MAXIMUM_DEPARTURES = 1000;

interface ReceivedDeparture {
  readonly departure: Departure;
  readonly receivedMs: number;
}

/** Contents of each renewal, as reported by the daemon. */
export interface RenewalContents {
  readonly reports: readonly GroupReport[];
  readonly releasedGroups: readonly GroupId[];
  readonly releasedAccounts: readonly AccountId[];
  readonly releasedTokens?: Readonly<Record<AccountId, number>>;
  readonly stopping: boolean;
  /**
   * This host as a member of the control quorum, if it requests to be admitted without a ticket.
   */
  readonly member?: ControlMember;
}

/** Identity of the daemon towards the control leader. */
export interface LeaseIdentity {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly domain: FailureDomain;
  /** Capacity of the host's network link, in bytes a second, if known. */
  readonly linkBytesPerSecond?: number;
}

/** Renews the daemon's lease and updates its copy of the replicated records. */
export class LeaseTask extends HolderLease {
  /** Posts batches of changed records. */
  readonly changed = new Mailbox<readonly ControlRecord[]>();
  /** Posts whether the lease is valid, each time this changes. */
  readonly validity = new Mailbox<boolean>();
  private lease: HeldLease;
  private leaseCount = 0;
  private wasValid = false;
  private lastSentMs = 0;
  private readonly sentMs = new Map<number, number>();
  /** Number of suspected suspensions when each renewal was sent, by its sequence. */
  private readonly sentSuspensions = new Map<number, number>();
  /** Number of suspected suspensions when the last granted renewal was sent. */
  private confirmedSuspensions = 0;
  private readonly backoff = new RenewalBackoff();
  private readonly announcements = new RecentAnnouncements();
  /** Departures by incarnation of an instance, with the time of their receipt. */
  private readonly departures = new Map<string, ReceivedDeparture>();
  private readonly subscriptions: Unsubscribe[] = [];

  constructor(
    private readonly identity: LeaseIdentity,
    private readonly mesh: Mesh,
    private readonly route: ControlRoute,
    private readonly records: DaemonRecords,
    private readonly timer: TimerService,
    private readonly logger: Logger,
    private readonly getContents: () => RenewalContents,
    private readonly usage?: UsageRecorder,
    private readonly work?: WorkRecorder,
  ) {
    super();
    this.lease = this.createLease();
    mesh.receive(MeshKind.LeaseGrant, ({ link, message }) => {
      this.route.answered(link.target);
      this.backoff.reset();
      this.unpack(link, message.grant, (records) =>
        this.handleGrant({ ...message.grant, records }),
      );
    });
    void mesh.lost.stream.observe(({ target }) => this.backoff.recordAttemptEnd(target));
    mesh.receive(MeshKind.LeaseRedirect, ({ link, message }) => {
      this.backoff.recordAttemptEnd(link.target);
      if (message.leader !== undefined) {
        this.backoff.recordNamedLeader(message.leader);
      }
      // If no leader is known, a later check tries again: each control host that received a
      // renewal reports the leader once it knows one, and renewals at the speed of the network
      // would delay its election.
      if (this.route.redirected(message.leader)) {
        this.renewSoon();
      }
    });
    mesh.receive(MeshKind.RecordUpdate, ({ link, message }) => {
      this.unpack(link, message.update, (records) =>
        this.publish(this.records.applyUpdate({ ...message.update, records })),
      );
    });
  }

  override get id(): LeaseId | undefined {
    return this.lease.id;
  }

  override isValid(): boolean {
    return this.isConfirmed && this.lease.isValid(this.timer.now());
  }

  override get leftMs(): number {
    return this.isConfirmed ? this.lease.getRemainingMs(this.timer.now()) : 0;
  }

  /** Starts to renew the lease. */
  start(): void {
    const ticks = new AdaptiveTick(
      this.timer,
      CHECK_INTERVAL_MS,
      VALID_CHECK_INTERVAL_MS,
      (nowMs) => {
        this.check(nowMs);
        return !this.isValid();
      },
    );
    this.subscriptions.push(() => ticks.stop());
    ticks.wake();
    this.renew();
  }

  /** Ends the lease; everything held under it must have been released before. */
  stop(): void {
    for (const unsubscribe of this.subscriptions.splice(0)) {
      unsubscribe();
    }
    this.lease.end();
  }

  /**
   * Forwards a backend server's announcement with the next renewal, or with an immediate one if it
   * reports a change.
   */
  announce(announcement: Announcement): void {
    if (this.announcements.add(announcement, this.timer.now())) {
      this.renewSoon();
    }
  }

  /**
   * Forwards the departure of a backend server, with each renewal for a while, since messages may
   * be lost.
   */
  announceDeparture(departure: Departure): void {
    const key = `${departure.instance} ${departure.startedMs ?? ''}`;
    if (this.departures.size >= MAXIMUM_DEPARTURES && !this.departures.has(key)) {
      return;
    }
    this.departures.set(key, { departure, receivedMs: this.timer.now() });
    this.renewSoon();
  }

  /** Renews without waiting for the interval, for example when there is a change to report. */
  renewSoon(): void {
    const waitMs = this.lastSentMs + RENEWAL_SPACING_MS - this.timer.now();
    this.timer.once(Math.max(0, waitMs), () => this.renew());
  }

  /**
   * Whether no suspension is suspected since the last granted renewal was sent; after one, only the
   * grant of a later renewal proves that the lease is still in force.
   */
  private get isConfirmed(): boolean {
    return this.timer.suspensions === this.confirmedSuspensions;
  }

  private check(nowMs: number): void {
    this.observeValidity();
    this.removeExpiredDepartures(nowMs);
    if (this.lease.isOver(nowMs)) {
      this.lease = this.createLease();
      this.renew();
    } else if (nowMs - this.lastSentMs >= RENEWAL_INTERVAL_MS || !this.isValid()) {
      // Without a lease this daemon serves nothing, so that each check tries again, to find a new
      // leader early.
      this.renew();
    }
  }

  private renew(): void {
    const nowMs = this.timer.now();
    const isValid = this.isValid();
    const address = isValid ? this.route.choose(nowMs) : this.route.search(nowMs);
    if (!isValid && !this.backoff.canAttempt(address, nowMs)) {
      return;
    }
    this.backoff.recordAttempt(address, nowMs);
    const start = this.lease.beginRenewal(nowMs);
    this.lastSentMs = nowMs;
    this.sentMs.set(start.sequence, nowMs);
    this.sentSuspensions.set(start.sequence, this.timer.suspensions);
    const usage = this.usage?.createSection();
    const work = this.work?.createReport();
    this.mesh.send(address, {
      kind: MeshKind.LeaseRenewal,
      renewal: {
        ...this.identity,
        ...this.getContents(),
        ...start,
        lease: this.lease.id,
        address: this.mesh.address,
        revision: this.records.revision,
        announcements: this.announcements.getForwarded(nowMs),
        ...(usage === undefined ? {} : { usage }),
        ...(work === undefined ? {} : { work }),
        ...(this.departures.size === 0
          ? {}
          : { departures: [...this.departures.values()].map(({ departure }) => departure) }),
      },
    });
  }

  /**
   * Unpacks records; closes the link if they are invalid, since its content cannot be trusted then.
   */
  private unpack(
    link: MeshLink,
    { records }: PackedRecords,
    handleRecords: (records: readonly ControlRecord[]) => void,
  ): void {
    tryUnpackRecords(records, link.target).match(handleRecords, (fault) => {
      this.logger.reportFault(fault);
      link.close(fault.message);
    });
  }

  private handleGrant(grant: LeaseGrant): void {
    const nowMs = this.timer.now();
    const { since, revision, records } = grant;
    if (this.usage?.receive(grant.usage) === true) {
      this.renewSoon();
    }
    const changed =
      since === undefined
        ? this.records.applyRecords(records, revision)
        : this.records.applyUpdate({ since, revision, records });
    const effect = this.lease.receiveGrant(grant, this.records.revision, nowMs);
    if (grant.lease === this.lease.id) {
      if (effect === GrantEffect.Extended) {
        this.confirmedSuspensions =
          this.sentSuspensions.get(grant.sequence) ?? this.confirmedSuspensions;
      }
      this.removeAnswered(grant.sequence);
    }
    this.observeValidity();
    this.publish(changed);
    if (effect === GrantEffect.Ended) {
      this.lease = this.createLease();
      this.renewSoon();
    } else if (effect === GrantEffect.Refused && changed.length > 0) {
      // An answer with all records that were missing extends the lease.
      this.renewSoon();
    }
  }

  private removeExpiredDepartures(nowMs: number): void {
    for (const [key, { receivedMs }] of this.departures) {
      if (nowMs - receivedMs > DEPARTURE_RETENTION_MS) {
        this.departures.delete(key);
      }
    }
  }

  private removeAnswered(sequence: number): void {
    const sentMs = this.sentMs.get(sequence);
    if (sentMs !== undefined) {
      this.announcements.removeUntil(sentMs);
    }
    for (const known of this.sentMs.keys()) {
      if (known <= sequence) {
        this.sentMs.delete(known);
        this.sentSuspensions.delete(known);
      }
    }
  }

  private publish(changed: readonly ControlRecord[]): void {
    if (changed.length > 0) {
      this.changed.post(changed);
    }
  }

  private observeValidity(): void {
    const isValid = this.isValid();
    if (isValid === this.wasValid) {
      return;
    }
    this.wasValid = isValid;
    const diagnostic = isValid ? Diagnostics.LeaseTaken : Diagnostics.LeaseLost;
    const nowMs = this.timer.now();
    this.logger.report(
      diagnostic,
      {},
      {
        ...{ step: 'lease', lease: this.lease.id },
        leftMs: Math.round(this.lease.getRemainingMs(nowMs)),
        sinceRenewalMs: Math.round(nowMs - this.lastSentMs),
        unconfirmedSuspensions: this.timer.suspensions - this.confirmedSuspensions,
      },
    );
    this.validity.post(isValid);
  }

  private createLease(): HeldLease {
    this.leaseCount += 1;
    this.sentMs.clear();
    this.sentSuspensions.clear();
    return new HeldLease(toLeaseId(`${this.identity.incarnation}.${this.leaseCount}`));
  }
}
