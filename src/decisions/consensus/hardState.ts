import type { MemberId } from './memberId.js';

/** The election state that a member must keep across restarts. */
export interface HardState {
  readonly term: number;
  /** The candidate that got this member's vote in the term. */
  readonly votedFor: MemberId | undefined;
}
