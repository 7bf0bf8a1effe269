import type { RequestId } from '../../common/ids/index.js';
import { AdaptiveTick, type TimerService } from '../../common/timer/index.js';
import { MeshKind, type Mesh, type MeshLink } from '../mesh/index.js';
import type { ExecuteRequest, ResponseReceiver, RunningRequest } from '../requests/index.js';
import { RemoteRequest } from './remoteRequest.js';

const BUSY_SWEEP_MS = 50;
const IDLE_SWEEP_MS = 500;
const RESEND_INTERVAL_MS = 50;
/** Must be shorter than the time for which a holder remembers the ids of its requests. */
const RESEND_LIMIT_MS = 4000;
const ANSWER_GRACE_MS = 500;

/** Requests that this daemon has sent to other daemons. */
export class RemoteRequests {
  private readonly requests = new Map<RequestId, RemoteRequest>();
  private readonly sweeps: AdaptiveTick;

  constructor(
    private readonly mesh: Mesh,
    private readonly timer: TimerService,
    private readonly isHolderCurrent: (request: ExecuteRequest) => boolean,
  ) {
    mesh.receive(MeshKind.ResponseBytes, ({ message }) => {
      this.requests.get(message.id)?.receiveBytes(message.offset, message.bytes);
    });
    mesh.receive(MeshKind.ResponseEnd, ({ message }) => {
      const { id, offset, bytes, outcome } = message;
      this.requests.get(id)?.receiveEnd(offset, bytes, outcome);
    });
    void mesh.lost.stream.observe((link) => this.handleLinkLost(link));
    this.sweeps = new AdaptiveTick(timer, BUSY_SWEEP_MS, IDLE_SWEEP_MS, (nowMs) => {
      this.sweep(nowMs);
      return this.requests.size > 0;
    });
  }

  /** Sends a request to the daemon at `address`. */
  send(address: string, request: ExecuteRequest, receiver: ResponseReceiver): RunningRequest {
    const nowMs = this.timer.now();
    const remote = new RemoteRequest(
      request,
      address,
      nowMs,
      receiver,
      () => this.mesh.getLink(address),
      () => this.requests.delete(request.id),
    );
    this.requests.set(request.id, remote);
    remote.send(nowMs);
    this.sweeps.wake();
    return remote;
  }

  private handleLinkLost(link: MeshLink): void {
    const nowMs = this.timer.now();
    for (const remote of this.requests.values()) {
      if (remote.address === link.target) {
        remote.linkLostMs ??= nowMs;
      }
    }
  }

  private sweep(nowMs: number): void {
    for (const remote of [...this.requests.values()]) {
      this.checkRequest(remote, nowMs);
    }
  }

  private checkRequest(remote: RemoteRequest, nowMs: number): void {
    const { request, linkLostMs: lostMs, firstSentMs } = remote;
    const isCurrent = this.isHolderCurrent(request);
    const ageMs = nowMs - firstSentMs;
    if (ageMs > request.remainingMs + ANSWER_GRACE_MS) {
      remote.endUnanswered('no answer came before the deadline');
    } else if (
      lostMs !== undefined &&
      (!isCurrent || ageMs > RESEND_LIMIT_MS || remote.canFallBackToHolder)
    ) {
      remote.endUnanswered('the link to the holder was lost');
    } else if (lostMs !== undefined && nowMs - lostMs >= RESEND_INTERVAL_MS) {
      remote.send(nowMs);
    } else if (!isCurrent && request.instance === undefined) {
      // A replaced reader is not checked: it still answers the requests that it has started.
      this.checkHolderMoved(remote, nowMs);
    }
  }

  /**
   * Ends a request whose holder no longer holds the group, after a grace period: a holder that
   * released its lease still answers the requests that it ran, one that lost its lease may not.
   */
  private checkHolderMoved(remote: RemoteRequest, nowMs: number): void {
    remote.holderMovedMs ??= nowMs;
    if (nowMs - remote.holderMovedMs > ANSWER_GRACE_MS) {
      remote.endUnanswered('the holder lost its lease');
    }
  }
}
