import type { AccountId, GroupId, LeaseId } from '../../common/ids/index.js';
import type { LoadFigure, LoadSender } from './loadFigures.js';
import type { LoadKind } from './loadKind.js';
import { getPriorityClass } from './priorityClass.js';

/** Time for which an observation of an account is used, in milliseconds. */
const OBSERVATION_VALIDITY_MS = 5000;
/**
 * Time after a refusal by the queue for which a request that needs as short a wait is refused too,
 * by priority class. It is short against the waits that queues refuse, so that a queue does not run
 * empty meanwhile. The most urgent requests are not refused for this reason.
 */
const REFUSAL_VALIDITY_MS: readonly number[] = [0, 120, 180, 240];
const MAXIMUM_ACCOUNTS = 4096;
/**
 * Share of the reported wait up to which an account's request counts as served ahead of the others.
 */
const AHEAD_SHARE = 0.5;

/** Whose requests are observed: those of a client account to a group, by kind and priority. */
export interface ObservedAccount {
  readonly group: GroupId;
  readonly account: AccountId;
  readonly kind: LoadKind;
  readonly priority: number | undefined;
}

interface Refusal {
  readonly lease: LeaseId;
  /** Wait of the account, which the queue refused. */
  readonly waitMs: number;
  readonly nowMs: number;
}

interface Observation {
  readonly isAhead: boolean;
  readonly nowMs: number;
  readonly refusal: Refusal | undefined;
}

/**
 * What the answers tell about single accounts in the fair queues of a group. Reported waits apply to
 * accounts that have used up their share. An account within its share waits less and must not be
 * refused because of the others' backlog; one beyond its share waits longer.
 */
export class AccountWaits {
  private readonly observations = new Map<string, Observation>();

  /** Records how long a request waited, at a time when the report in its answer had `reportedMs`. */
  recordWait(of: ObservedAccount, waitedMs: number, reportedMs: number, nowMs: number): void {
    const isAhead = waitedMs < reportedMs * AHEAD_SHARE;
    const refusal = isAhead ? undefined : this.observations.get(getKey(of))?.refusal;
    this.set(of, { isAhead, nowMs, refusal });
  }

  /** Records that the queue of a sender refused a request because of a wait of `waitMs`. */
  recordRefusal(of: ObservedAccount, { lease }: LoadSender, waitMs: number, nowMs: number): void {
    this.set(of, { isAhead: false, nowMs, refusal: { lease, waitMs, nowMs } });
  }

  /** Whether there is an observation of the account, at any age. */
  has(of: ObservedAccount): boolean {
    return this.observations.size > 0 && this.observations.has(getKey(of));
  }

  /**
   * Whether reported waits apply to an account. An account without a recent observation has to be
   * served or refused by the queue, which knows its share.
   */
  isBehind(of: ObservedAccount, nowMs: number): boolean {
    const observation = this.observations.get(getKey(of));
    const ageMs = nowMs - (observation?.nowMs ?? Number.NEGATIVE_INFINITY);
    return observation?.isAhead === false && ageMs >= 0 && ageMs < OBSERVATION_VALIDITY_MS;
  }

  /** Returns the wait that a sender's queue has just refused to an account, if there is one. */
  getRefused(
    of: ObservedAccount,
    senders: readonly LoadSender[],
    nowMs: number,
  ): LoadFigure | undefined {
    const refusal = this.observations.get(getKey(of))?.refusal;
    if (refusal === undefined || senders.length !== 1 || senders[0]?.lease !== refusal.lease) {
      return undefined;
    }
    const { waitMs } = refusal;
    const ageMs = nowMs - refusal.nowMs;
    const validityMs = REFUSAL_VALIDITY_MS[getPriorityClass(of.priority)] ?? 0;
    const isValid = ageMs >= 0 && ageMs < validityMs;
    return isValid ? { reportedMs: waitMs, ageMs, waitMs } : undefined;
  }

  private set(of: ObservedAccount, observation: Observation): void {
    const key = getKey(of);
    this.observations.delete(key);
    this.observations.set(key, observation);
    if (this.observations.size > MAXIMUM_ACCOUNTS) {
      const oldest = this.observations.keys().next();
      if (oldest.done !== true) {
        this.observations.delete(oldest.value);
      }
    }
  }
}

function getKey({ group, account, kind, priority }: ObservedAccount): string {
  return `${group}/${account}/${kind}/${priority ?? ''}`;
}
