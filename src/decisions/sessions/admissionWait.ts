/**
 * Time for which callers may wait for the first admission of a host, in milliseconds: while a fleet
 * starts no other host can serve them either. Callers give up after 2 s.
 */
const FIRST_ADMISSION_WAIT_MS = 1500;
/** Time after which a host that could admit callers, and no longer can, refuses them. */
const LOST_ADMISSION_WAIT_MS = 100;
/**
 * Time after which a host that can no longer admit callers ends idle sessions: longer than an
 * election, after which the lease returns.
 */
const IDLE_SESSION_WAIT_MS = 1000;

/** Limits how long new callers wait while their host can't admit them. */
export class AdmissionWait {
  private lostMs: number | undefined;
  private hasAdmitted = false;

  /** Records whether callers can be admitted now; to be called regularly. */
  record(canAdmit: boolean, nowMs: number): void {
    this.hasAdmitted ||= canAdmit;
    this.lostMs = canAdmit || !this.hasAdmitted ? undefined : (this.lostMs ?? nowMs);
  }

  /**
   * Whether a caller that arrived at a time is to be refused now. A host that lost its lease refuses
   * early, as another host may serve the caller.
   */
  isOver(arrivedMs: number, nowMs: number): boolean {
    const { lostMs } = this;
    return lostMs === undefined
      ? nowMs - arrivedMs > FIRST_ADMISSION_WAIT_MS
      : nowMs - lostMs >= LOST_ADMISSION_WAIT_MS;
  }

  /** Whether the host has been unable to admit callers for so long that idle ones are to leave it. */
  endsIdleSessions(nowMs: number): boolean {
    return this.lostMs !== undefined && nowMs - this.lostMs >= IDLE_SESSION_WAIT_MS;
  }
}
