import { createFault, Diagnostics, Execution } from '../../common/diagnostics/index.js';
import type { Incarnation } from '../../common/ids/index.js';
import type { TimerService } from '../../common/timer/index.js';
import { MeshKind, type Execute, type Mesh, type MeshLink } from '../mesh/index.js';
import type { GroupHolder } from './groupHolder.js';
import { createRefusedOutcome, RequestKind } from '../requests/index.js';
import { getRequestCost, PeerBytes } from './peerBytes.js';
import { ServedRequest } from './servedRequest.js';

/** Time in milliseconds for which a complete answer is kept for a sender that lost its link. */
export const ANSWER_RETENTION_MS = 8000;
const SWEEP_INTERVAL_MS = 500;
const SENDER_GRACE_MS = 3000;
/** Age of a complete answer that is dropped first when too much is held for other daemons. */
const UNCONSUMED_MS = 1000;
/** Time after which a refused request may be sent again, in milliseconds. */
const RETRY_MS = 100;

/**
 * Runs requests sent by other daemons; one that is sent again gets the outcome of its first run.
 */
export class ExecuteServer {
  private readonly held: PeerBytes;
  private readonly served = new Map<string, ServedRequest>();
  /** Senders without a link, with the time at which their last link was lost. */
  private readonly missing = new Map<Incarnation, number>();

  constructor(
    private readonly mesh: Mesh,
    private readonly holder: GroupHolder,
    private readonly timer: TimerService,
    maximumBytes: number,
  ) {
    this.held = new PeerBytes(maximumBytes);
    mesh.receive(MeshKind.Execute, ({ link, message }) => this.execute(link, message));
    mesh.receive(MeshKind.ResponseCredit, ({ link, message }) => {
      this.find(link, message.id)?.consume(message.consumed);
    });
    mesh.receive(MeshKind.Cancel, ({ link, message }) => {
      const running = this.find(link, message.id)?.running;
      if (message.abandoned) {
        running?.abandon();
      } else if (message.revoked === true) {
        running?.revoke();
      } else {
        running?.cancel();
      }
    });
    mesh.receive(MeshKind.AbortTransaction, ({ message }) => {
      holder.abortTransaction(message.group, message.transaction);
    });
    void mesh.lost.stream.observe((link) => this.recordLostLink(link));
    timer.subscribe(SWEEP_INTERVAL_MS, (nowMs) => this.sweep(nowMs));
  }

  private execute(link: MeshLink, { request, received }: Execute): void {
    const key = getKey(link, request.id);
    if (link.peer !== undefined) {
      this.missing.delete(link.peer.incarnation);
    }
    const known = this.served.get(key);
    if (known !== undefined) {
      known.attach(link, received);
      return;
    }
    const served = new ServedRequest(request.id, link, () => this.timer.now(), this.held);
    this.served.set(key, served);
    if (mayRefuse(request) && !this.hasRoom()) {
      const context = { step: 'holder.execute', execution: Execution.NotRun };
      const fault = createFault(Diagnostics.HolderFull, {}, { ...context, retryAfterMs: RETRY_MS });
      served.finish(createRefusedOutcome(fault));
      return;
    }
    served.charge(getRequestCost(request.payload));
    const running = this.holder.execute(request, served);
    // A request that has ended is kept for its answer only, not for its payload.
    served.running = served.endedMs === undefined ? running : undefined;
  }

  /** Whether a further request can be taken, if need be without kept answers. */
  private hasRoom(): boolean {
    if (this.held.isExceeded) {
      this.discardEnded();
    }
    return !this.held.isExceeded;
  }

  /** Drops answers that are kept only for senders that lost their link. */
  private discardEnded(): void {
    for (const served of this.served.values()) {
      if (served.endedMs !== undefined && this.timer.now() - served.endedMs > UNCONSUMED_MS) {
        served.discard();
      }
    }
  }

  private find(link: MeshLink, id: string): ServedRequest | undefined {
    return this.served.get(getKey(link, id));
  }

  private recordLostLink(link: MeshLink): void {
    if (link.peer !== undefined && !this.mesh.hasLinkTo(link.peer.incarnation)) {
      this.missing.set(link.peer.incarnation, this.timer.now());
    }
  }

  private sweep(nowMs: number): void {
    for (const [key, served] of this.served) {
      if (served.endedMs !== undefined && nowMs - served.endedMs > ANSWER_RETENTION_MS) {
        this.served.delete(key);
        served.discard();
      }
    }
    for (const [incarnation, sinceMs] of this.missing) {
      if (nowMs - sinceMs > SENDER_GRACE_MS) {
        this.missing.delete(incarnation);
        this.abandonAll(incarnation);
      }
    }
  }

  /** Abandons the requests and rolls back the transactions of a daemon that did not reconnect. */
  private abandonAll(incarnation: Incarnation): void {
    for (const [key, served] of this.served) {
      if (key.startsWith(`${incarnation}/`) && served.endedMs === undefined) {
        served.running?.abandon();
      }
    }
    this.holder.abortOwnedTransactions(incarnation);
  }
}

function getKey(link: MeshLink, id: string): string {
  return `${link.peer?.incarnation ?? ''}/${id}`;
}

/** Whether a request can be refused without the loss of a transaction. */
function mayRefuse({ kind }: Execute['request']): boolean {
  return kind !== RequestKind.Inside && kind !== RequestKind.End;
}
