import type { AccountId } from '../../common/ids/index.js';
import {
  REQUEST_TIMEOUT_MS,
  TokenMessageKind,
  type MessageToHolder,
} from '../../decisions/limits/index.js';

const MAXIMUM_EARLY_REQUESTS = 1000;

interface EarlyRequest {
  readonly message: MessageToHolder;
  readonly receivedMs: number;
}

/**
 * Token requests for accounts whose assignment reached the senders before it reached this daemon.
 * Returns of tokens are not kept: a new holder has no grant that they could settle.
 */
export class EarlyRequests {
  private requests: EarlyRequest[] = [];

  /** Stores a request; drops it if the maximum number is stored. */
  add(message: MessageToHolder, nowMs: number): void {
    this.requests = this.requests.filter(
      ({ receivedMs }) => nowMs - receivedMs <= REQUEST_TIMEOUT_MS,
    );
    if (
      message.kind === TokenMessageKind.Request &&
      this.requests.length < MAXIMUM_EARLY_REQUESTS
    ) {
      this.requests.push({ message, receivedMs: nowMs });
    }
  }

  /** Removes the requests of an account and returns those not timed out, in order of arrival. */
  take(account: AccountId, nowMs: number): MessageToHolder[] {
    const taken = this.requests.filter(({ message }) => message.account === account);
    this.requests = this.requests.filter(({ message }) => message.account !== account);
    return taken
      .filter(({ receivedMs }) => nowMs - receivedMs <= REQUEST_TIMEOUT_MS)
      .map(({ message }) => message);
  }
}
