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

const RENEWAL_INTERVAL_MS = 250;
const CHECK_INTERVAL_MS = 50;
/** Half a renewal interval: a lease in force only has to be renewed. */
const VALID_CHECK_INTERVAL_MS = RENEWAL_INTERVAL_MS / 2;
/** A daemon without a lease asks the next control host after this time. */
const SEARCH_TIMEOUT_MS = 100;
/** Shortest time between two renewals. */
const RENEWAL_SPACING_MS = 5;
/** How long a departure is repeated: longer than a change of the control leader takes. */
const DEPARTURE_RETENTION_MS = 3000;

/** Departures that are repeated at once: far more instances than stop within that time. */
const MAXIMUM_DEPARTURES = 1000;

interface ReceivedDeparture {
  readonly departure: Departure;
  readonly receivedMs: number;
}

/** What goes with each renewal. */
export interface RenewalContents {
  readonly reports: readonly GroupReport[];
  readonly releasedGroups: readonly GroupId[];
  readonly releasedAccounts: readonly AccountId[];
  readonly releasedTokens?: Readonly<Record<AccountId, number>>;
  readonly stopping: boolean;
  /** This host as a member of the control quorum, when it is to be admitted by itself. */
  readonly member?: ControlMember;
}

/** Who the daemon is towards control. */
export interface LeaseIdentity {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly domain: FailureDomain;
  /** What its link carries, in bytes a second, where that is known. */
  readonly linkBytesPerSecond?: number;
}

/** Keeps the daemon's lease and its copy of the replicated records. */
export class LeaseTask extends HolderLease {
  /** Batches of records that changed. */
  readonly changed = new Mailbox<readonly ControlRecord[]>();
  /** Whether the lease is valid, each time that changes. */
  readonly validity = new Mailbox<boolean>();
  private lease: HeldLease;
  private leaseCount = 0;
  private wasValid = false;
  private lastSentMs = 0;
  private readonly sentMs = new Map<number, number>();
  /** Suspensions suspected until a renewal was sent, by its sequence. */
  private readonly sentSuspensions = new Map<number, number>();
  /** Suspensions suspected until the last granted renewal was sent. */
  private confirmedSuspensions = 0;
  private readonly backoff = new RenewalBackoff();
  private readonly announcements = new RecentAnnouncements();
  /** By life of an instance, with the time at which it was told. */
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
      // Where no leader is known the next check asks again: each control host that was asked tells
      // when it knows one, and answers at the speed of the network would take its time from electing.
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

  /** Begins to renew. */
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

  /** Ends the lease; everything held under it must have been given up before. */
  stop(): void {
    for (const unsubscribe of this.subscriptions.splice(0)) {
      unsubscribe();
    }
    this.lease.end();
  }

  /** Takes a backend server's announcement, to go with the next renewal; with one at once when it is news. */
  announce(announcement: Announcement): void {
    if (this.announcements.add(announcement, this.timer.now())) {
      this.renewSoon();
    }
  }

  /** Takes a backend server's word that it is gone; passed on for a while, as answers get lost. */
  announceDeparture(departure: Departure): void {
    const key = `${departure.instance} ${departure.startedMs ?? ''}`;
    if (this.departures.size >= MAXIMUM_DEPARTURES && !this.departures.has(key)) {
      return;
    }
    this.departures.set(key, { departure, receivedMs: this.timer.now() });
    this.renewSoon();
  }

  /** Renews without waiting for the interval, as when there is something to report. */
  renewSoon(): void {
    const waitMs = this.lastSentMs + RENEWAL_SPACING_MS - this.timer.now();
    this.timer.once(Math.max(0, waitMs), () => this.renew());
  }

  /** After a suspected suspension only a renewal sent later shows that the lease still lasts. */
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
      // Without a lease nothing is served here: a leader is asked as soon as there is one.
      this.renew();
    }
  }

  private renew(): void {
    const nowMs = this.timer.now();
    const isValid = this.isValid();
    const address = this.route.choose(nowMs, isValid ? undefined : SEARCH_TIMEOUT_MS);
    if (!isValid && !this.backoff.canAttempt(address, nowMs)) {
      return;
    }
    this.backoff.recordAttempt(address, nowMs);
    const start = this.lease.beginRenewal(nowMs);
    this.lastSentMs = nowMs;
    this.sentMs.set(start.sequence, nowMs);
    this.sentSuspensions.set(start.sequence, this.timer.suspensions);
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
        ...(this.departures.size === 0
          ? {}
          : { departures: [...this.departures.values()].map(({ departure }) => departure) }),
      },
    });
  }

  /** Closes a link over which no records came: what it carries can't be trusted. */
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
    const changed =
      since === undefined
        ? this.records.applyRecords(records, revision)
        : this.records.applyUpdate({ since, revision, records });
    const effect = this.lease.receiveGrant(grant, nowMs);
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
      // The lease waits for these records to be reported as applied.
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
    this.logger.report(diagnostic, {}, { step: 'lease', lease: this.lease.id });
    this.validity.post(isValid);
  }

  private createLease(): HeldLease {
    this.leaseCount += 1;
    this.sentMs.clear();
    this.sentSuspensions.clear();
    return new HeldLease(toLeaseId(`${this.identity.incarnation}.${this.leaseCount}`));
  }
}
