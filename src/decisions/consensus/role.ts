/** What a member is in its current term. Learners are followers that are no voters. */
export enum Role {
  Follower = 'follower',
  PreCandidate = 'pre-candidate',
  Candidate = 'candidate',
  Leader = 'leader',
}
