import type { RequestId } from '../../common/ids/index.js';

/**
 * Limits when requests may start on an instance, in addition to its slots. Statements of open
 * transactions pass without asking.
 */
export abstract class StartGate {
  /** Whether one more request may start now. */
  abstract mayStart(nowMs: number): boolean;
  /** Records that a request obtained a slot. */
  abstract recordStart(requestId: RequestId, nowMs: number): void;
  /** Returns the wait, in milliseconds, of a request that has `ahead` requests before it. */
  abstract getWaitMs(ahead: number, nowMs: number): number;
}
