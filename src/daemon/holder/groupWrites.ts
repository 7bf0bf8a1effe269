import type { LogPosition } from '../../common/ids/index.js';
import { Diagnostics } from '../../common/diagnostics/index.js';
import {
  toLogPosition,
  toTerm,
  type GroupId,
  type InstanceId,
  type Term,
} from '../../common/ids/index.js';
import {
  getServedTimeline,
  PrimaryPhase,
  type GroupPrimary,
} from '../../decisions/control/index.js';
import {
  getGuaranteedPosition,
  WriteConfirmations,
  type PendingWrite,
} from '../../decisions/routing/index.js';
import {
  getFurthest,
  getPositionStatus,
  PositionStatus,
  type SessionPosition,
} from '../../decisions/sessions/index.js';
import { Acknowledgement } from '../../decisions/tickets/index.js';
import type { ProbeAnswer } from '../backend/index.js';
import { createOutcomeUnknownFault, type HeldRequest } from './heldRequest.js';
import type { HolderContext } from './holderContext.js';

/** Replica count and probe control that a group provides for the acknowledgement of its writes. */
export interface GroupWritesOwner {
  /** Returns the number of instances other than the primary that are not leaving the group. */
  getReplicaCount(): number;
  /** Sets whether replica positions are needed as soon as possible. */
  setUrgent(urgent: boolean): void;
}

/** Decides when committed writes of a held group are acknowledged, and fences its primary. */
export class GroupWrites {
  /** Highest fenced term, under which this holder never acknowledges a write again. */
  fencedTerm: Term = toTerm(0);
  /** Time at which the term was fenced. */
  fencedMs = 0;
  /** The furthest position acknowledged to callers; absent until it is known. */
  acknowledged: SessionPosition | undefined;
  /**
   * Furthest position that the acknowledged writes of the current timeline are guaranteed to reach;
   * 0 for none.
   */
  confirmed: LogPosition = toLogPosition(0);
  /** The furthest position observed at the primary; it may include unacknowledged writes. */
  primaryPosition: SessionPosition | undefined;
  primary: GroupPrimary | undefined;
  private readonly confirmations = new WriteConfirmations();
  private readonly requests = new Map<PendingWrite['id'], HeldRequest>();
  /** Instances other than the primary that an unsettled order may still promote. */
  private required: readonly InstanceId[] = [];

  constructor(
    private readonly group: GroupId,
    private readonly context: HolderContext,
    private readonly owner: GroupWritesOwner,
  ) {}

  /** Term of the log positions of the primary that served last. */
  get timeline(): Term | undefined {
    return this.primary && getServedTimeline(this.primary);
  }

  get isFenced(): boolean {
    return this.primary === undefined || this.fencedTerm >= this.primary.term;
  }

  /** Number of committed writes whose acknowledgement is pending. */
  get pendingCount(): number {
    return this.requests.size;
  }

  get acknowledgedPosition(): LogPosition {
    return this.acknowledged?.position ?? toLogPosition(0);
  }

  /** Applies the primary decided by control, and acknowledges or fails writes of earlier terms. */
  setPrimary(primary: GroupPrimary): void {
    const timeline = this.timeline;
    const changed = this.primary !== undefined && getServedTimeline(primary) !== timeline;
    this.primary = primary;
    if (changed) {
      this.acknowledged = getServedStartPosition(primary);
      this.confirmed = toLogPosition(0);
      this.primaryPosition = undefined;
    }
    if (primary.phase === PrimaryPhase.Serving) {
      this.settleEarlierTerms(primary);
    }
    this.updateRequirement();
  }

  /** Applies changed records to which instances must have a write before it is acknowledged. */
  updateRequirement(): void {
    const { primary, context, group } = this;
    const present = new Set(context.records.getInstances(group).map(({ instance }) => instance));
    this.required = (primary?.unsettled ?? [])
      .map(({ instance }) => instance)
      .filter((instance) => instance !== primary?.instance && present.has(instance));
    const needsReplica = this.needsReplica();
    const requirement = { needsReplica, instances: this.required };
    for (const write of this.confirmations.setRequirement(requirement)) {
      this.settle(write);
    }
  }

  /** Whether a leaving instance must have each write, as an order may still promote it. */
  isRequired(instance: InstanceId): boolean {
    return this.required.includes(instance);
  }

  /** Permanently stops acknowledging writes of the primary's term. */
  fence(reason: string): void {
    if (this.primary === undefined || this.isFenced) {
      return;
    }
    const { term, instance } = this.primary;
    this.fencedTerm = term;
    this.fencedMs = this.context.timer.now();
    this.context.logger.report(
      Diagnostics.PrimaryFenced,
      { instance, group: this.group, term },
      { step: 'holder.fence', reason },
    );
    this.context.reportNow();
  }

  /** Acknowledges a committed write, immediately or when a replica has it. */
  confirm(request: HeldRequest, written: ProbeAnswer | undefined): void {
    if (
      written === undefined ||
      written.isPrimary === false ||
      !this.mayAcknowledge(written.term)
    ) {
      this.holdOrFail(request, written);
      return;
    }
    const position = { term: written.term, position: written.position };
    const write = { id: request.request.id, position, deadlineMs: request.deadlineMs };
    this.updateRequirement();
    if (this.confirmations.add(write)) {
      this.acknowledge(request, position);
      return;
    }
    this.requests.set(write.id, request);
    this.owner.setUrgent(true);
  }

  /** Records a replica's position and completes the writes that it confirms. */
  recordReplicaPosition(instance: InstanceId, position: SessionPosition, isLeaving: boolean): void {
    const confirmed = this.confirmations.recordReplicaPosition(instance, position, isLeaving);
    for (const write of confirmed) {
      this.settle(write);
    }
    this.updateUrgency();
  }

  forgetReplica(instance: InstanceId): void {
    this.confirmations.forgetReplica(instance);
  }

  /** Records the primary's own position. */
  recordPrimaryPosition(position: SessionPosition): void {
    if (position.term === this.timeline) {
      this.acknowledged ??= position;
      this.primaryPosition = getFurthest(this.primaryPosition, position);
    }
  }

  /** Fails pending writes whose deadline has passed, with an unknown outcome. */
  tick(nowMs: number): void {
    for (const write of this.confirmations.expire(nowMs)) {
      this.failWrite(write);
    }
    this.updateUrgency();
  }

  /** Fails all pending writes with an unknown outcome. */
  stop(): void {
    for (const write of this.confirmations.clear()) {
      this.failWrite(write);
    }
  }

  private mayAcknowledge(term: Term): boolean {
    return (
      this.timeline === term &&
      this.primary?.phase !== PrimaryPhase.Promoting &&
      !this.isFenced &&
      this.context.lease.isValid()
    );
  }

  private needsReplica(): boolean {
    const acknowledgement = this.context.records.getAcknowledgement(this.group);
    return acknowledgement === Acknowledgement.Replica && this.owner.getReplicaCount() > 0;
  }

  /** Holds a fenced write until the next term, which may contain it; fails any other write. */
  private holdOrFail(request: HeldRequest, written: ProbeAnswer | undefined): void {
    const nowMs = this.context.timer.now();
    const isOwnTerm = written?.term === this.timeline && written?.isPrimary !== false;
    if (written === undefined || !isOwnTerm || !this.isFenced || nowMs >= request.deadlineMs) {
      this.failOutcomeUnknown(request);
      return;
    }
    const { id } = request.request;
    const position = { term: written.term, position: written.position };
    this.confirmations.hold({ id, position, deadlineMs: request.deadlineMs });
    this.requests.set(id, request);
  }

  /**
   * Acknowledges a write that a replica confirmed, holds it while the primary is fenced, or fails
   * it.
   */
  private settle(write: PendingWrite): void {
    const request = this.takeRequest(write);
    if (request === undefined) {
      return;
    }
    if (this.mayAcknowledge(write.position.term)) {
      this.acknowledge(request, write.position);
    } else if (this.isFenced && this.context.timer.now() < write.deadlineMs) {
      this.requests.set(write.id, request);
      this.confirmations.hold(write);
    } else {
      this.failOutcomeUnknown(request);
    }
  }

  private settleEarlierTerms(primary: GroupPrimary): void {
    const timeline = getServedTimeline(primary) ?? primary.term;
    for (const write of this.confirmations.takeBefore(timeline)) {
      const request = this.takeRequest(write);
      const included = getPositionStatus(write.position, primary) === PositionStatus.Included;
      if (request !== undefined && included && this.mayAcknowledge(timeline)) {
        this.acknowledge(request, write.position);
      } else if (request !== undefined) {
        this.failOutcomeUnknown(request);
      }
    }
  }

  private acknowledge(request: HeldRequest, position: SessionPosition): void {
    this.acknowledged = getFurthest(this.acknowledged, position);
    const certain = getGuaranteedPosition(request.primaryPositionBefore, position);
    if (certain !== undefined && position.term === this.timeline) {
      this.confirmed = toLogPosition(Math.max(this.confirmed, certain));
    }
    request.finish({ nowMs: this.context.timer.now(), position });
  }

  private failWrite(write: PendingWrite): void {
    const request = this.takeRequest(write);
    if (request !== undefined) {
      this.failOutcomeUnknown(request);
    }
  }

  private failOutcomeUnknown(request: HeldRequest): void {
    const fault = createOutcomeUnknownFault('holder.acknowledge', this.primary?.instance);
    request.fail(fault, { nowMs: this.context.timer.now() });
  }

  private takeRequest(write: PendingWrite): HeldRequest | undefined {
    const request = this.requests.get(write.id);
    this.requests.delete(write.id);
    return request;
  }

  private updateUrgency(): void {
    this.owner.setUrgent(this.confirmations.isWaiting && !this.isFenced);
  }
}

/**
 * Returns the position at which the history of the last primary that served began; every write
 * acknowledged earlier is before it.
 */
function getServedStartPosition(primary: GroupPrimary): SessionPosition | undefined {
  const term = getServedTimeline(primary);
  const start = primary.history.at(-1);
  return term === undefined || start === undefined ? undefined : { term, position: start.position };
}
