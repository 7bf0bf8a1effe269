/** Longest times for which an instance that accepts no new work may still run requests. */
export interface WithdrawalLimits {
  /** Since this daemon learned that its failure domain is out of service, in milliseconds. */
  readonly domainMs: number;
  /** Since this daemon learned that it is leaving, in milliseconds. */
  readonly instanceMs: number;
}

/** What is known of an instance's service. */
export interface ServiceState {
  /** Time since its failure domain was taken out of service; 0 while it is in service. */
  readonly outOfServiceMs: number;
  readonly isLeaving: boolean;
}

/**
 * Decides when an instance that accepts no new work may run nothing more at all. Until then its
 * open transactions go on, and a primary serves while control moves its group to another instance.
 */
export class Withdrawal {
  private leavingSinceMs: number | undefined;

  constructor(private readonly limits: WithdrawalLimits) {}

  /** Whether the instance may run nothing more. */
  isOver({ outOfServiceMs, isLeaving }: ServiceState, nowMs: number): boolean {
    this.leavingSinceMs = isLeaving ? (this.leavingSinceMs ?? nowMs) : undefined;
    const leavingMs = nowMs - (this.leavingSinceMs ?? nowMs);
    const { domainMs, instanceMs } = this.limits;
    return outOfServiceMs >= domainMs || leavingMs >= instanceMs;
  }
}
