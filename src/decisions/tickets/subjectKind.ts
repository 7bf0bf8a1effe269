/** Kind of a subject that a change ticket can change. */
export enum SubjectKind {
  Account = 'account',
  Group = 'group',
  Route = 'route',
  FailureDomain = 'failure-domain',
  BackendServer = 'backend-server',
  ControlMembers = 'control-members',
  Configuration = 'configuration',
}
