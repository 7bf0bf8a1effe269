import type { AccountId } from '../../common/ids/index.js';
import {
  REQUEST_TIMEOUT_MS,
  TokenMessageKind,
  type MessageToHolder,
} from '../../decisions/limits/index.js';

const MAXIMUM_EARLY = 1000;

interface EarlyRequest {
  readonly message: MessageToHolder;
  readonly receivedMs: number;
}

/**
 * Requests for tokens of accounts whose assignment reached the senders before it reached this
 * daemon. Returns are not kept: a new holder has no grant that they could settle.
 */
export class EarlyRequests {
  private requests: EarlyRequest[] = [];

  /** Keeps a request; drops it instead when too many are kept. */
  add(message: MessageToHolder, nowMs: number): void {
    this.requests = this.requests.filter(
      ({ receivedMs }) => nowMs - receivedMs <= REQUEST_TIMEOUT_MS,
    );
    if (message.kind === TokenMessageKind.Request && this.requests.length < MAXIMUM_EARLY) {
      this.requests.push({ message, receivedMs: nowMs });
    }
  }

  /** Takes the kept requests of an account that are not outdated, in order of arrival. */
  take(account: AccountId, nowMs: number): MessageToHolder[] {
    const taken = this.requests.filter(({ message }) => message.account === account);
    this.requests = this.requests.filter(({ message }) => message.account !== account);
    return taken
      .filter(({ receivedMs }) => nowMs - receivedMs <= REQUEST_TIMEOUT_MS)
      .map(({ message }) => message);
  }
}
