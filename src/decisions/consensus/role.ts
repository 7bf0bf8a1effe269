/** A member's role in its current term. Learners are followers that do not vote. */
export enum Role {
  Follower = 'follower',
  PreCandidate = 'pre-candidate',
  Candidate = 'candidate',
  Leader = 'leader',
}
