import { err, ok, type Result } from 'neverthrow';
import { Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { toRevision, type HostId, type Revision } from '../../common/ids/index.js';
import type { PlacementMetrics, UsageMetrics } from '../../common/metrics/index.js';
import type { RandomSource } from '../../common/random.js';
import type { TimerService, Unsubscribe } from '../../common/timer/index.js';
import {
  Role,
  type ConsensusMessage,
  type ConsensusSettings,
  type MemberId,
} from '../../decisions/consensus/index.js';
import {
  canKeepLog,
  CommandKind,
  ControlInputKind,
  ControlLeader,
  ControlOutputKind,
  dropInvalidEntries,
  type Command,
  type CommandAnswer,
  type ControlInput,
  type ControlOutput,
  type ControlSettings,
  type LeaseGrant,
  type Promote,
  type ReportUsage,
  type RecordUpdate,
  type SubjectStatus,
  type Update,
} from '../../decisions/control/index.js';
import { SubjectKind, tryParseTicket } from '../../decisions/tickets/index.js';
import { ReportOutcome } from '../../decisions/usage/index.js';
import {
  MeshKind,
  RecordPacker,
  type Mesh,
  type MeshLink,
  type MeshMessage,
  type PackedRecords,
} from '../mesh/index.js';
import type { RequestIds } from '../requests/index.js';
import type { LogStorage, OpenedLog } from '../storage/index.js';
import {
  ControlCallKind,
  type ConfigurationAnswer,
  type ControlCallContent,
} from './controlCalls.js';
import { DomainSwitches } from './domainSwitches.js';
import type { MemberAddresses } from './memberAddresses.js';
import {
  CONTROL_MEMBERS,
  MembershipManager,
  type MembershipManagerOptions,
} from './membershipManager.js';
import type { AppliedConfiguration } from './meshControlClient.js';
import type { Platform } from './platform.js';
import { QuorumMember, type QuorumListener } from './quorumMember.js';
import { RecordPusher } from './recordPusher.js';
import { SentRecords } from './sentRecords.js';
import { TicketSubmissions } from './ticketSubmissions.js';

const TICK_INTERVAL_MS = 40;
const MEMBERSHIP_INTERVAL_MS = 200;
const HANDOVER_TIMEOUT_MS = 500;
/** Dependencies and settings of a control host. */
export interface ControlHostOptions extends MembershipManagerOptions {
  readonly host: HostId;
  readonly mesh: Mesh;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly ids: RequestIds;
  readonly storage: LogStorage<Command>;
  readonly opened: OpenedLog<Command>;
  readonly addresses: MemberAddresses;
  readonly platform: Platform;
  readonly control: ControlSettings;
  /** Counters of usage reports; undefined where usage is not reported. */
  readonly usageMetrics: UsageMetrics | undefined;
  /** Counters of the placement by load; undefined where that is off. */
  readonly placementMetrics?: PlacementMetrics | undefined;
  readonly consensus: ConsensusSettings;
  /**
   * Start of this process on the timer's clock, in milliseconds; absent if the process may have run
   * this host before.
   */
  readonly processStartMs?: number | undefined;
  /** Called when the daemon cannot continue, such as after a disk failure. */
  readonly onFatal: (fault: Fault) => void;
}

/** Control role of a daemon: a member of the quorum and, when elected, its leader. */
export class ControlHost implements QuorumListener {
  private readonly member: QuorumMember;
  private readonly leader: ControlLeader;
  private readonly links = new Map<HostId, MeshLink>();
  private readonly subscriptions: Unsubscribe[] = [];
  private readonly membershipManager: MembershipManager;
  private readonly packer = new RecordPacker();
  private readonly pusher: RecordPusher;
  private readonly sentRecords = new SentRecords();
  private readonly submissions: TicketSubmissions;
  private readonly domainSwitches: DomainSwitches;
  /** Revision that each daemon last reported as applied. */
  private readonly appliedRevisions = new Map<HostId, Revision>();
  /** Number of suspected suspensions when a quorum last confirmed that this host leads. */
  private confirmedSuspensions = 0;
  private isConfirming = false;
  /** Whether this host leads and has applied all entries committed by earlier leaders. */
  private isServing = false;
  /** Links of daemons that requested a lease while no leader was known here. */
  private readonly leaderWaiters = new Set<MeshLink>();

  constructor(private readonly options: ControlHostOptions) {
    const { opened, storage, state, ids, timer, random, mesh, logger } = options;
    const { consensus } = options;
    this.member = new QuorumMember(opened, storage, state, ids, timer, random, consensus, this);
    this.leader = new ControlLeader(state, { settings: options.control });
    this.membershipManager = new MembershipManager(this.member, options);
    const propose = (command: Command) => this.member.propose(command);
    this.submissions = new TicketSubmissions(state, propose);
    this.domainSwitches = new DomainSwitches(state, propose);
    this.pusher = new RecordPusher(timer, (update) => this.sendUpdate(update));
    mesh.receive(MeshKind.Consensus, ({ link, message }) => {
      if (link.peer !== undefined) {
        options.addresses.recordAddress(message.from, link.peer.address);
      }
      this.member.receive(message.content);
    });
    mesh.receive(MeshKind.LeaseRenewal, ({ link, message }) => this.handleRenewal(link, message));
    mesh.receive(MeshKind.ControlCall, ({ link, message }) => {
      this.answer(link, message).catch((cause: unknown) => {
        const reason = cause instanceof Error ? cause.message : String(cause);
        logger.report(Diagnostics.TaskFailed, { reason }, { step: 'control.call' });
      });
    });
  }

  /** Identity of this host's log. */
  get identity(): MemberId {
    return this.member.identity;
  }

  /** Newest term of the quorum known to this host. */
  get term(): number {
    return this.member.term;
  }

  /**
   * Time for which the disk has refused writes, in milliseconds; undefined while it accepts them.
   */
  get refusedMs(): number | undefined {
    return this.member.refusedMs;
  }

  /**
   * Whether this host can be a member: its disk has refused no writes, or only for a short time.
   */
  get canBeMember(): boolean {
    return canKeepLog(this.refusedMs);
  }

  /** Starts to take part in the quorum. */
  start(): void {
    const { timer, processStartMs } = this.options;
    this.member.start(processStartMs);
    this.subscriptions.push(
      timer.subscribe(TICK_INTERVAL_MS, () => this.handleInput({ kind: ControlInputKind.Tick })),
      timer.subscribe(MEMBERSHIP_INTERVAL_MS, (nowMs) => {
        this.membershipManager.check(nowMs);
        if (!this.canBeMember) {
          this.member.yieldLeadership();
        }
        this.removeClosedLeaderWaiters();
      }),
    );
  }

  /** Transfers leadership if this host leads, then stops taking part in the quorum. */
  async stop(): Promise<void> {
    if (this.member.isLeader) {
      this.member.transferLeadership();
      await this.waitForHandover();
    }
    for (const unsubscribe of this.subscriptions.splice(0)) {
      unsubscribe();
    }
    this.pusher.stop();
    await this.member.stop();
  }

  send(to: MemberId, message: ConsensusMessage<Command>): void {
    const address = this.options.addresses.find(to);
    if (address !== undefined) {
      const { identity: from } = this.member;
      this.options.mesh.send(address, { kind: MeshKind.Consensus, from, to, content: message });
    }
  }

  committed(command: Command, revision: Revision, answer: CommandAnswer): void {
    this.handleInput({ kind: ControlInputKind.Committed, command, revision, answer });
  }

  leadershipChanged(role: Role, term: number): void {
    const { logger, host } = this.options;
    logger.report(Diagnostics.ControlRoleChanged, { role }, { step: 'control.role', term });
    this.membershipManager.leadershipChanged(this.options.timer.now());
    this.isServing = false;
    if (role !== Role.Leader) {
      this.handleInput({ kind: ControlInputKind.LostLeadership });
      this.notifyLeaderWaiters();
      return;
    }
    void this.member.passBarrier().then((passed) => {
      if (passed.isOk() && this.member.isLeader && this.member.term === term) {
        this.handleInput({ kind: ControlInputKind.BecameLeader, host, controlTerm: term });
        this.isServing = true;
        this.notifyLeaderWaiters();
      }
    });
  }

  snapshotRefused(fault: Fault): void {
    this.options.logger.reportFault(fault);
  }

  storageFailed(fault: Fault): void {
    this.options.onFatal(fault);
  }

  private waitForHandover(): Promise<void> {
    const { timer } = this.options;
    const endMs = timer.now() + HANDOVER_TIMEOUT_MS;
    return new Promise((resolve) => {
      const unsubscribe = timer.subscribe(TICK_INTERVAL_MS, (nowMs) => {
        if (!this.member.isLeader || nowMs >= endMs) {
          unsubscribe();
          resolve();
        }
      });
    });
  }

  private handleInput(input: ControlInput): void {
    this.performOutputs(this.leader.handle(input, this.options.timer.now()));
  }

  private performOutputs(outputs: readonly ControlOutput[]): void {
    for (const output of outputs) {
      switch (output.kind) {
        case ControlOutputKind.Propose:
          void this.member.propose(output.command);
          break;
        case ControlOutputKind.Grant:
          this.grant(output.host, output.grant);
          break;
        case ControlOutputKind.Update:
          this.pusher.push(output);
          break;
        case ControlOutputKind.Promote:
          this.promote(output);
          break;
        case ControlOutputKind.ReportUsage:
          this.reportUsage(output);
          break;
        case ControlOutputKind.CountUsage:
          this.options.usageMetrics?.record(output.event, output.count);
          break;
        case ControlOutputKind.CountPlacement:
          this.options.placementMetrics?.record(output.event, output.count);
          break;
        case ControlOutputKind.Log:
          this.options.logger.report(output.diagnostic, output.values, { step: 'control.leader' });
          break;
      }
    }
  }

  private sendUpdate({ hosts, update }: Update): void {
    const packed = this.pack(update);
    for (const host of hosts) {
      const link = this.findLink(host);
      link?.send({ kind: MeshKind.RecordUpdate, update: packed });
      if (link !== undefined) {
        this.sentRecords.recordUpdate(link, update.since, update.revision);
      }
    }
  }

  private grant(host: HostId, grant: LeaseGrant): void {
    const link = this.findLink(host);
    if (link !== undefined) {
      const reducedGrant = this.sentRecords.omitSentRecords(
        link,
        grant,
        this.appliedRevisions.get(host) ?? toRevision(0),
      );
      link.send({ kind: MeshKind.LeaseGrant, grant: this.pack(reducedGrant) });
    }
  }

  private pack<Content extends LeaseGrant | RecordUpdate>(
    content: Content,
  ): Omit<Content, 'records'> & PackedRecords {
    return { ...content, records: this.packer.pack(content.records, content.revision) };
  }

  private promote(order: Promote): void {
    const { group, instance, term } = order;
    const result = { kind: ControlInputKind.PromotionResult, group, instance, term } as const;
    // A deposed leader must not send an order after one of its successor.
    if (!this.isLeadershipConfirmed() || !this.member.isLeaseValid()) {
      this.handleInput({ ...result, ok: true, isSettled: true });
      return;
    }
    void this.options.platform.promote(order).match(
      ({ position, isSettled }) => {
        const known = position === undefined ? {} : { position };
        this.handleInput({ ...result, ok: true, isSettled, ...known });
      },
      (fault) => {
        this.options.logger.reportFault(fault, { term });
        this.handleInput({ ...result, ok: false, isSettled: true });
      },
    );
  }

  private reportUsage({ report }: ReportUsage): void {
    const kind = ControlInputKind.ReportResult;
    // A deposed leader must not send a report after one of its successor.
    const isSendable = this.isLeadershipConfirmed() && this.member.isLeaseValid();
    const sent = isSendable
      ? this.options.platform.reportUsage(report)
      : Promise.resolve(ReportOutcome.Unsent);
    void sent.then((outcome) => this.handleInput({ kind, report, outcome }));
  }

  private handleRenewal(
    link: MeshLink,
    message: Extract<MeshMessage, { kind: MeshKind.LeaseRenewal }>,
  ): void {
    if (!this.isServing) {
      const hint = this.member.isLeader ? {} : this.getLeaderHint();
      if (hint.leader === undefined) {
        this.leaderWaiters.add(link);
      }
      link.send({ kind: MeshKind.LeaseRedirect, ...hint });
      return;
    }
    const renewal = dropInvalidEntries(message.renewal);
    this.links.set(renewal.host, link);
    this.appliedRevisions.set(renewal.host, renewal.revision);
    if (renewal.member !== undefined) {
      this.membershipManager.recordMember(renewal.member, this.options.timer.now());
    }
    const mayGrant = this.isLeadershipConfirmed() && this.member.isLeaseValid();
    this.handleInput({ kind: ControlInputKind.Renewal, renewal, mayGrant });
  }

  /**
   * Whether a quorum has confirmed that this host leads since the last suspected suspension of this
   * process, during which another host may have become leader. If not, starts a confirmation.
   */
  private isLeadershipConfirmed(): boolean {
    const { suspensions } = this.options.timer;
    if (suspensions !== this.confirmedSuspensions && !this.isConfirming) {
      this.isConfirming = true;
      void this.member.passBarrier().then((passed) => {
        this.isConfirming = false;
        this.confirmedSuspensions = passed.isOk() ? suspensions : this.confirmedSuspensions;
      });
    }
    return suspensions === this.confirmedSuspensions;
  }

  private findLink(host: HostId): MeshLink | undefined {
    const link = this.links.get(host);
    if (link?.isClosed === true) {
      this.links.delete(host);
      this.appliedRevisions.delete(host);
      return undefined;
    }
    return link;
  }

  private async answer(
    link: MeshLink,
    { id, content }: Extract<MeshMessage, { kind: MeshKind.ControlCall }>,
  ): Promise<void> {
    const result = await this.executeCall(content as ControlCallContent);
    const message = result.match(
      (answer) => ({ content: answer }),
      (fault) => ({ fault: { code: fault.diagnostic.code, message: fault.message } }),
    );
    link.send({ kind: MeshKind.ControlAnswer, id, ...message, ...this.getLeaderHint() });
  }

  private async executeCall(content: ControlCallContent): Promise<Result<unknown, Fault>> {
    if (content.kind === ControlCallKind.SubmitTicket) {
      return this.submitTicket(content.ticket);
    }
    if (content.kind === ControlCallKind.SubmitPackedTicket) {
      return this.submissions.submit(content.ticket);
    }
    if (content.kind === ControlCallKind.SwitchDomain) {
      return this.domainSwitches.submit(content);
    }
    const passed = await this.member.passBarrier();
    if (passed.isErr()) {
      return err(passed.error);
    }
    const nowMs = this.options.timer.now();
    switch (content.kind) {
      case ControlCallKind.ReadTicket:
        return ok(this.options.state.getTicket(content.number));
      case ControlCallKind.ReadInForce:
        return ok(this.readInForce(content.subject, nowMs));
      case ControlCallKind.ReadConfiguration:
        return ok(this.readConfiguration(content.known));
      case ControlCallKind.ReadStatus:
        return ok(this.leader.getStatus(nowMs));
    }
  }

  /** Validates a ticket again: it was received over the mesh, and every member will apply it. */
  private async submitTicket(content: unknown): Promise<Result<unknown, Fault>> {
    const parsed = tryParseTicket(content);
    if (parsed.isErr()) {
      return err(parsed.error);
    }
    const proposed = await this.member.propose({
      kind: CommandKind.SubmitTicket,
      ticket: parsed.value,
    });
    return proposed.map(({ ticket }) => ticket);
  }

  /** The configuration that this host has applied; undefined for none. */
  findConfiguration(): AppliedConfiguration | undefined {
    const { state } = this.options;
    const found = state.getSubject(SubjectKind.Configuration);
    return found?.state.kind === SubjectKind.Configuration
      ? { number: found.ticket, source: found.state.source }
      : undefined;
  }

  private readConfiguration(known: unknown): ConfigurationAnswer {
    const found = this.findConfiguration();
    return found?.number === known && found !== undefined ? { number: found.number } : { ...found };
  }

  private readInForce(subject: string | undefined, nowMs: number): readonly SubjectStatus[] {
    const statuses = this.leader.getSubjectStatuses(subject, nowMs);
    const includesMembers = subject === undefined || subject === CONTROL_MEMBERS;
    return includesMembers && this.options.state.getControlMembers() === undefined
      ? [...statuses, this.options.foundedMembers]
      : statuses;
  }

  /** Sends the leader's address, once known, to the daemons that requested a lease before. */
  private notifyLeaderWaiters(): void {
    const hint = this.getLeaderHint();
    if (hint.leader === undefined) {
      return;
    }
    this.removeClosedLeaderWaiters();
    for (const link of this.leaderWaiters) {
      link.send({ kind: MeshKind.LeaseRedirect, ...hint });
    }
    this.leaderWaiters.clear();
  }

  /**
   * Removes closed links. A host that is cut off from the quorum for long receives requests over
   * many links, one after another.
   */
  private removeClosedLeaderWaiters(): void {
    for (const link of this.leaderWaiters) {
      if (link.isClosed) {
        this.leaderWaiters.delete(link);
      }
    }
  }

  private getLeaderHint(): { readonly leader?: string } {
    const { leader } = this.member;
    if (this.isServing) {
      return { leader: this.options.mesh.address };
    }
    const address = leader === undefined ? undefined : this.options.addresses.find(leader);
    return address === undefined ? {} : { leader: address };
  }
}
