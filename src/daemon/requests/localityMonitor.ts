import { LocalityStage } from '../../common/metrics/index.js';
import type { GroupId } from '../../common/ids/index.js';
import { DEFAULT_REMOTE_SHARE, RemoteShare } from '../../decisions/routing/index.js';
import { isCapacityRefusal } from './isCapacityRefusal.js';
import type { LocalityContext } from './localityContext.js';

/** End of a request, as far as it tells about capacity. */
export interface LocalityOutcome {
  readonly isOwnDomain: boolean;
  /** Diagnostic number of the fault, if any. */
  readonly code: number | undefined;
  readonly waitMs: number;
  /** Bytes of the request and its answer. */
  readonly byteLength: number;
}

/** Derives the remote share of one group from its requests, and counts these. */
export class LocalityMonitor {
  readonly share: RemoteShare;

  constructor(
    private readonly context: LocalityContext,
    private readonly stage: LocalityStage,
    private readonly group: GroupId,
  ) {
    this.share = new RemoteShare({ ...DEFAULT_REMOTE_SHARE, costMs: context.costMs });
  }

  /** Records the end of a request; a wait out of range, as from another daemon, is ignored. */
  record({ isOwnDomain, code, waitMs, byteLength }: LocalityOutcome, nowMs: number): void {
    const { metrics } = this.context;
    if (code !== undefined && isCapacityRefusal(code)) {
      this.share.recordRefused(isOwnDomain, nowMs);
    } else if (code === undefined && Number.isFinite(waitMs) && waitMs >= 0) {
      this.share.recordServed(isOwnDomain, waitMs, nowMs);
    }
    metrics.recordRequest(this.stage, isOwnDomain, byteLength);
    metrics.setShare(this.stage, this.group, this.share.value);
  }

  /** Records a request that got no answer in time. */
  recordTimeout(isOwnDomain: boolean, nowMs: number): void {
    this.share.recordRefused(isOwnDomain, nowMs);
  }
}
