import { Diagnostics } from '../../../common/diagnostics/index.js';
import {
  toFailureDomain,
  toHostId,
  toRevision,
  type GroupId,
  type AccountId,
} from '../../../common/ids/index.js';
import { DaemonLeases } from '../../leases/daemonLeases.js';
import type { DaemonLease } from '../../leases/daemonLease.js';
import { PromotionRules } from '../../promotion/index.js';
import type { ControlState } from '../controlState.js';
import { CommandKind } from '../commandKind.js';
import type { FleetStatus } from '../fleetStatus.js';
import type { Holder } from '../holder.js';
import {
  FleetWork,
  LeastLoadedNear,
  Placement,
  ResourceKind,
  SpareHosts,
  WeightedPlacement,
} from '../placement/index.js';
import { getPrimaryRecordName } from '../recordNames.js';
import type { SubjectStatus } from '../subjectStatus.js';
import { AccountPlacement } from './accountPlacement.js';
import { WorkQueue } from './workQueue.js';
import { getLeaseKey } from './commandKey.js';
import { CommitHandler } from './commitHandler.js';
import { ControlInputKind, type ControlInput, type PromotionResult } from './controlInput.js';
import type { ControlOutput } from './controlOutput.js';
import { DEFAULT_CONTROL_SETTINGS, type ControlSettings } from './controlSettings.js';
import { FleetStatusReader } from './fleetStatusReader.js';
import { GroupDecisions } from './groupDecisions.js';
import { GroupPlacement } from './groupPlacement.js';
import { HostRegistry } from './hostRegistry.js';
import {
  avoidHostOfLostLease,
  getTracker,
  type LeaderContext,
  type LoadPlacement,
} from './leaderContext.js';
import { Outbox } from './outbox.js';
import { ReaderPlacement } from './readerPlacement.js';
import { Rebalancer } from './rebalancer.js';
import { RenewalHandler } from './renewalHandler.js';
import { UsageReporter } from './usageReporter.js';

const UNKNOWN_DOMAIN = toFailureDomain('');

/** Replaceable parts of a control leader. */
export interface ControlLeaderParts {
  readonly settings?: ControlSettings;
  readonly createLeases?: (settings: ControlSettings) => DaemonLeases;
  readonly createRules?: (settings: ControlSettings) => PromotionRules;
  readonly createPlacement?: () => Placement;
  readonly createGroupPlacement?: (context: LeaderContext) => GroupPlacement;
  readonly createReaderPlacement?: (context: LeaderContext) => ReaderPlacement;
}

/**
 * Decides on leases, placement and promotion over the control state. Pure: takes inputs and the
 * time, returns outputs. A command must be applied to the state before it is passed in.
 */
export class ControlLeader {
  private readonly context: LeaderContext;
  private readonly hosts: HostRegistry;
  private readonly commitHandler: CommitHandler;
  private readonly renewalHandler: RenewalHandler;
  private readonly usage: UsageReporter;
  private readonly groups: GroupDecisions;
  private readonly readers: ReaderPlacement;
  private readonly accounts: AccountPlacement;
  private readonly rebalancer: Rebalancer;
  private readonly reader: FleetStatusReader;
  private isLeader = false;
  private controlTerm = 0;

  constructor(state: ControlState, parts: ControlLeaderParts = {}) {
    this.context = createContext(state, parts);
    const { settings } = this.context;
    this.hosts = new HostRegistry(this.context);
    this.commitHandler = new CommitHandler(this.context, this.hosts);
    this.usage = new UsageReporter(this.context);
    this.renewalHandler = new RenewalHandler(this.context, this.hosts, this.usage);
    const rules = parts.createRules?.(settings) ?? new PromotionRules(settings.promotion);
    const placement =
      parts.createGroupPlacement?.(this.context) ?? new GroupPlacement(this.context);
    this.readers = parts.createReaderPlacement?.(this.context) ?? new ReaderPlacement(this.context);
    this.groups = new GroupDecisions(this.context, rules, placement, this.readers);
    this.accounts = new AccountPlacement(this.context);
    this.rebalancer = new Rebalancer(this.context);
    this.reader = new FleetStatusReader(this.context);
  }

  /** Handles one input and returns the resulting outputs. */
  handle(input: ControlInput, nowMs: number): ControlOutput[] {
    if (input.kind === ControlInputKind.BecameLeader) {
      this.beginLeadership(nowMs);
      this.context.host = input.host;
      this.controlTerm = input.controlTerm;
      this.usage.begin(input.controlTerm, nowMs);
    } else if (this.isLeader) {
      this.handleAsLeader(input, nowMs);
    }
    if (this.isLeader) {
      this.processQueues(input.kind === ControlInputKind.Tick, nowMs);
    }
    return this.context.outbox.take();
  }

  /** State of the fleet; meaningful only while this host is the leader. */
  getStatus(nowMs: number): FleetStatus {
    return this.reader.getStatus(this.controlTerm, nowMs);
  }

  /** Status of one subject, or of all if none is named. */
  getSubjectStatuses(subject: string | undefined, nowMs: number): readonly SubjectStatus[] {
    return this.reader.getSubjectStatuses(subject, nowMs);
  }

  private handleAsLeader(input: ControlInput, nowMs: number): void {
    switch (input.kind) {
      case ControlInputKind.BecameLeader:
        break;
      case ControlInputKind.LostLeadership:
        this.isLeader = false;
        this.usage.end();
        break;
      case ControlInputKind.Committed:
        this.commitHandler.handle(input, nowMs);
        break;
      case ControlInputKind.Renewal:
        this.renewalHandler.handle(input.renewal, input.mayGrant, nowMs);
        break;
      case ControlInputKind.PromotionResult:
        this.handlePromotionResult(input, nowMs);
        break;
      case ControlInputKind.ReportResult:
        this.usage.handleResult(input, nowMs);
        break;
      case ControlInputKind.Tick:
        this.retireExpiredLeases(nowMs);
        this.rebalancer.run(nowMs);
        this.readers.requeueLackingGroups();
        this.usage.tick(nowMs);
        break;
    }
  }

  private beginLeadership(nowMs: number): void {
    const { context } = this;
    this.isLeader = true;
    context.sinceMs = nowMs;
    context.trackers.clear();
    context.outbox.clear();
    context.groupQueue.clear();
    context.accountQueue.clear();
    this.hosts.clear();
    this.readers.clear();
    context.loadPlacement?.work.begin(nowMs);
    const held = context.state.getHolders().map(createUnknownLease);
    context.leases.begin(held, context.state.changeRevision, nowMs);
    this.commitHandler.begin(nowMs);
    this.rebalancer.reset(nowMs);
  }

  /** Processes the groups and accounts that changed; on a tick also those that wait. */
  private processQueues(isTick: boolean, nowMs: number): void {
    const { groupQueue, accountQueue, settings } = this.context;
    const decideGroup = (group: GroupId) => this.groups.decide(group, nowMs);
    const decideAccount = (account: AccountId) => this.accounts.decide(account, nowMs);
    let budget = isTick ? settings.decisionsPerTick : settings.decisionsPerInput;
    budget = groupQueue.runChanged(budget, decideGroup);
    budget = accountQueue.runChanged(budget, decideAccount);
    if (isTick) {
      budget = groupQueue.runWaiting(budget, decideGroup);
      accountQueue.runWaiting(budget, decideAccount);
    }
  }

  /**
   * Proposes to retire the leases that ran out; their resources are reassigned once that is
   * committed.
   */
  private retireExpiredLeases(nowMs: number): void {
    const { leases, outbox } = this.context;
    for (const expired of leases.takeExpired(nowMs)) {
      const { lease, host } = expired;
      outbox.log(Diagnostics.LeaseRetired, { lease, host });
      avoidHostOfLostLease(this.context, expired);
      this.hosts.refresh(host, nowMs);
    }
    for (const lease of leases.getExpired()) {
      outbox.propose(getLeaseKey(lease), { kind: CommandKind.RetireLease, lease }, nowMs);
    }
  }

  private handlePromotionResult(result: PromotionResult, nowMs: number): void {
    const { state, outbox, groupQueue } = this.context;
    const { group, term, instance, position } = result;
    const tracker = getTracker(this.context, group);
    const primary = state.getPrimary(group);
    if (primary?.term !== term || primary.instance !== instance || tracker.order?.term !== term) {
      return;
    }
    if (result.isSettled) {
      const { unsettledCount } = tracker.order;
      tracker.order = { ...tracker.order, unsettledCount: unsettledCount - 1 };
    }
    if (result.ok && position === undefined) {
      groupQueue.add(group);
    } else if (result.ok && position !== undefined) {
      const command = { kind: CommandKind.CompletePromotion, group, term, position } as const;
      outbox.propose(getPrimaryRecordName(group), command, nowMs);
    } else {
      tracker.order = { ...tracker.order, failed: true };
      groupQueue.add(group);
    }
  }
}

function createContext(state: ControlState, parts: ControlLeaderParts): LeaderContext {
  const settings = parts.settings ?? DEFAULT_CONTROL_SETTINGS;
  const createPlacement = parts.createPlacement ?? (() => new Placement(new LeastLoadedNear()));
  const load = settings.placesByLoad === true ? createLoadPlacement() : undefined;
  return {
    settings,
    state,
    leases: parts.createLeases?.(settings) ?? new DaemonLeases(settings.lease),
    groupPlacement: load?.groups ?? createPlacement(),
    accountPlacement: load?.accounts ?? createPlacement(),
    spareHosts: new SpareHosts(load && ((host) => load.work.getWork(host))),
    ...(load === undefined ? {} : { loadPlacement: load }),
    groupQueue: new WorkQueue(),
    accountQueue: new WorkQueue(),
    trackers: new Map(),
    outbox: new Outbox(settings.proposalTimeoutMs),
    sinceMs: 0,
    host: toHostId(''),
  };
}

function createLoadPlacement(): LoadPlacement {
  const work = new FleetWork();
  return {
    work,
    groups: new WeightedPlacement(new LeastLoadedNear(), ResourceKind.Group, work),
    accounts: new WeightedPlacement(new LeastLoadedNear(), ResourceKind.Account, work),
  };
}

/** Creates a lease that holds resources but has not been renewed at this leader. */
function createUnknownLease(holder: Holder): DaemonLease {
  const { lease, host, address } = holder;
  return {
    lease,
    host,
    address,
    domain: UNKNOWN_DOMAIN,
    sequence: 0,
    revision: toRevision(0),
    stopping: false,
    grantedAtMs: 0,
    expiryMs: 0,
    isLive: false,
  };
}
