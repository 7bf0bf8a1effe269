import type { MemberId } from './memberId.js';

/** What a member must remember of elections across restarts. */
export interface HardState {
  readonly term: number;
  /** The candidate that got this member's vote in the term. */
  readonly votedFor: MemberId | undefined;
}
