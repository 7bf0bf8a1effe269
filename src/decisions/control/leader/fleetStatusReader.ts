import type { AccountId, GroupId } from '../../../common/ids/index.js';
import { toTerm } from '../../../common/ids/index.js';
import type { DaemonLease } from '../../leases/daemonLease.js';
import { getSubjectName } from '../../tickets/index.js';
import type {
  AccountStatus,
  DaemonStatus,
  FleetStatus,
  GroupStatus,
  InstanceStatus,
} from '../fleetStatus.js';
import type { SubjectInForce } from '../subjectInForce.js';
import type { SubjectStatus } from '../subjectStatus.js';
import { getSubjectRecordName } from '../recordNames.js';
import type { LeaderContext } from './leaderContext.js';

/** Reads the status of the fleet as the leader knows it. */
export class FleetStatusReader {
  constructor(private readonly context: LeaderContext) {}

  /** Status of the fleet. */
  getStatus(controlTerm: number, nowMs: number): FleetStatus {
    const { state, host, leases } = this.context;
    return {
      leader: host,
      controlTerm,
      revision: state.revision,
      daemons: leases.getLive().map((lease) => createDaemonStatus(lease, nowMs)),
      groups: this.getGroups().map((group) => this.getGroupStatus(group, nowMs)),
      accounts: state.getAccounts().map((account) => this.getAccountStatus(account)),
    };
  }

  /**
   * Status of one subject, or of all if none is named, with the daemons that have not applied it.
   */
  getSubjectStatuses(subject: string | undefined, nowMs: number): SubjectStatus[] {
    const { state, leases } = this.context;
    const live = leases.getLive();
    const lowest = live.reduce((least, lease) => Math.min(least, lease.revision), Infinity);
    const isSettled = !leases.isWaiting(nowMs);
    const found = subject === undefined ? state.getSubjects() : [state.getSubject(subject)];
    return found
      .filter((each) => each !== undefined)
      .map((each) => this.createSubjectStatus(each, live, lowest, isSettled));
  }

  private createSubjectStatus(
    value: SubjectInForce,
    live: readonly DaemonLease[],
    lowest: number,
    isSettled: boolean,
  ): SubjectStatus {
    const subject = getSubjectName(value.state);
    const revision = this.context.state.getRecordRevision(getSubjectRecordName(subject));
    const isBehind = (lease: DaemonLease) => lease.revision < revision;
    const missing = lowest < revision ? live.filter(isBehind).map((lease) => lease.host) : [];
    const everywhere = isSettled && missing.length === 0;
    return { subject, ticket: value.ticket, state: value.state, revision, everywhere, missing };
  }

  private getGroups(): GroupId[] {
    const { state, trackers } = this.context;
    return [...new Set([...state.getGroups(), ...trackers.keys()])];
  }

  private getGroupStatus(group: GroupId, nowMs: number): GroupStatus {
    const { state } = this.context;
    const primary = state.getPrimary(group);
    const holder = state.getGroupAssignment(group)?.holder?.host;
    return {
      group,
      ...(holder === undefined ? {} : { holder }),
      ...(primary === undefined ? {} : { primary: primary.instance, phase: primary.phase }),
      term: primary?.term ?? toTerm(0),
      instances: this.getInstances(group, nowMs),
    };
  }

  private getInstances(group: GroupId, nowMs: number): InstanceStatus[] {
    const { trackers, state } = this.context;
    const received = trackers.get(group)?.announcements.values() ?? [];
    return [...received].map(({ announcement, receivedAtMs }) => {
      const { instance, domain, role, term, position } = announcement;
      const reader = state.getReader(group, instance)?.holder?.host;
      const announcedAgoMs = nowMs - receivedAtMs;
      const status = { instance, domain, role, term, position, announcedAgoMs };
      return reader === undefined ? status : { ...status, reader };
    });
  }

  private getAccountStatus(account: AccountId): AccountStatus {
    const holder = this.context.state.getAccountAssignment(account)?.holder?.host;
    return holder === undefined ? { account } : { account, holder };
  }
}

function createDaemonStatus(lease: DaemonLease, nowMs: number): DaemonStatus {
  const { host, domain, address, revision, expiryMs } = lease;
  return { host, domain, address, revision, leaseLeftMs: Math.max(0, expiryMs - nowMs) };
}
