import { getPriorityRank } from '../../common/priority.js';
import type { AdmissionRequest } from './admissionRequest.js';
import { RUN_RESERVE_MS, RUN_RESERVE_SHARE } from './limitTiming.js';

/** A request that waits for tokens. */
export interface WaitingRequest {
  readonly request: AdmissionRequest;
  /** Rank of the priority, from 0, the most urgent. */
  readonly rank: number;
  readonly sinceMs: number;
  /** Latest time at which admission still leaves time to run the request. */
  readonly latestMs: number;
  /** Whether the request was admitted, refused or cancelled. */
  isDone: boolean;
}

/** Creates a waiting request. */
export function createWaitingRequest(request: AdmissionRequest, nowMs: number): WaitingRequest {
  const leftMs = request.deadlineMs - nowMs;
  const reserveMs = Math.min(RUN_RESERVE_MS, leftMs * RUN_RESERVE_SHARE);
  const rank = getPriorityRank(request.priority);
  const latestMs = request.deadlineMs - reserveMs;
  return { request, rank, sinceMs: nowMs, latestMs, isDone: false };
}
